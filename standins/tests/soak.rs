//! A short soak test under injected faults. Longer ones run with
//! `cargo run --release -p standins --bin soak -- --seconds 60 --seeds 10`.

use std::path::PathBuf;
use std::time::Duration;

use standins::soak::{run_soak, SoakSetup};

async fn soak(seed: u64, gateways: usize) {
    let log_dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
    let setup = SoakSetup {
        log_dir,
        seed,
        duration: Duration::from_secs(8),
        gateways,
    };
    let report = run_soak(&setup).await.expect("the invariants should hold");
    assert!(report.faults > 5, "{report}");
}

#[tokio::test(flavor = "multi_thread")]
async fn invariants_hold_and_the_site_recovers_under_successive_faults() {
    for seed in [1, 2, 3] {
        soak(seed, 3).await;
    }
    soak(4, 10).await;
}
