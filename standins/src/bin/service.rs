//! Runs the stand-in for a plain service.

use std::net::SocketAddr;

use argh::FromArgs;

/// Stand in for a plain service.
#[derive(FromArgs)]
struct ServiceArgs {
    /// where to listen, IP:PORT
    #[argh(option)]
    address: SocketAddr,
    /// name of the replica
    #[argh(option)]
    name: String,
    /// the platform that keeps the ledger of runs, IP:PORT
    #[argh(option)]
    ledger: Option<SocketAddr>,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> eyre::Result<()> {
    let args: ServiceArgs = argh::from_env();
    standins::service::run(args.address, args.name, args.ledger).await
}
