//! Runs fault soaks of the gateways, one seed after the other, and stops at the first seed whose
//! checks fail.

use std::time::Duration;

use argh::FromArgs;
use standins::soak::{run_soak, SoakSetup};

/// Soaks gateways under faults drawn from seeds.
#[derive(FromArgs)]
struct SoakArgs {
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds
    #[argh(option, default = "1")]
    seeds: u64,
    /// seconds of faults for each seed
    #[argh(option, default = "30")]
    seconds: u64,
    /// number of gateways
    #[argh(option, default = "3")]
    gateways: usize,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let args: SoakArgs = argh::from_env();
    for seed in args.seed..args.seed + args.seeds {
        let name = format!("lynxcart-soak-{}-{seed}", std::process::id());
        let report = run_soak(&SoakSetup {
            log_dir: std::env::temp_dir().join(name),
            seed,
            duration: Duration::from_secs(args.seconds),
            gateways: args.gateways,
        })
        .await?;
        println!("seed={seed} {report}");
    }
    Ok(())
}
