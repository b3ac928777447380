//! Runs the stand-in for a model engine.

use std::net::SocketAddr;

use argh::FromArgs;
use lynxcart::agent::upstream::EngineInfo;
use standins::engine::{run, EngineSetup};

/// Stand in for a model engine that holds a range of layers.
#[derive(FromArgs)]
struct EngineArgs {
    /// where to listen, IP:PORT
    #[argh(option)]
    address: SocketAddr,
    /// the model
    #[argh(option, default = "String::from(\"cedar\")")]
    model: String,
    /// first layer held
    #[argh(option)]
    first_layer: u32,
    /// one past the last layer held
    #[argh(option)]
    end_layer: u32,
    /// layers of the whole model
    #[argh(option)]
    layers: u32,
    /// kind of accelerator
    #[argh(option, default = "String::from(\"a\")")]
    accelerator: String,
    /// time of one step, microseconds
    #[argh(option, default = "4000")]
    step_us: u64,
    /// sequences in one step
    #[argh(option, default = "16")]
    batch: usize,
    /// positions of a prompt or replay that one millisecond runs
    #[argh(option, default = "50")]
    prefill_per_ms: u32,
    /// prompt blocks cached
    #[argh(option, default = "1024")]
    cache_blocks: usize,
    /// refuse orders with an old fencing number
    #[argh(switch)]
    check_fence: bool,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> eyre::Result<()> {
    let args: EngineArgs = argh::from_env();
    run(EngineSetup {
        address: args.address,
        role: EngineInfo {
            model: args.model,
            first_layer: args.first_layer,
            end_layer: args.end_layer,
            accelerator: args.accelerator,
        },
        layers: args.layers,
        step_us: args.step_us,
        max_batch: args.batch,
        prefill_per_ms: args.prefill_per_ms,
        cache_blocks: args.cache_blocks,
        check_fence: args.check_fence,
    })
    .await
}
