//! Runs the stand-in for the platform.

use std::net::SocketAddr;

use argh::FromArgs;

/// Stand in for the platform's key-value service and list of VMs.
#[derive(FromArgs)]
struct PlatformArgs {
    /// where to listen, IP:PORT
    #[argh(option)]
    address: SocketAddr,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> eyre::Result<()> {
    let args: PlatformArgs = argh::from_env();
    standins::platform::run(args.address).await
}
