//! A planned stop of a gateway while a stream looks for another run.

use std::path::PathBuf;
use std::time::Duration;

use standins::site::{read_up_to, SiteRequest, TestSite};

const EVENTS: u64 = 300;

#[tokio::test(flavor = "multi_thread")]
async fn stream_without_a_run_is_not_ended_as_complete_by_a_stop() {
    let log_dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("stop-without-a-run");
    let site = TestSite::start(log_dir, 1)
        .await
        .expect("site should start");
    let request = SiteRequest::stream("s", EVENTS);
    let response = site.send(0, &request).await.expect("stream should begin");
    site.wait_chain("s").await.expect("stream should run");
    let received = tokio::spawn(read_up_to(response, usize::MAX));
    tokio::time::sleep(Duration::from_millis(200)).await;
    for address in &site.model_addresses {
        site.replicas.change(*address, |state| state.crashed = true);
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    for _ in 0..2 {
        let gateway = &site.gateways[0].process;
        gateway.signal("TERM").expect("gateway should be signalled");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let (received, end) = received.await.expect("stream should be read");
    let count = received.event_ids().len() as u64;
    assert!(
        end.is_err() || count == EVENTS,
        "ended after {count} events"
    );
}
