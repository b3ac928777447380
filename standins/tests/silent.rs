//! Open connections that go silent for good, without a reset, while new ones work.

use std::path::PathBuf;
use std::time::Duration;

use standins::site::{SiteRequest, TestSite};

/// Time from a disturbance after which the users' bounds hold again, in milliseconds.
const CONTACT_MS: u64 = 3_000;
/// Time after which a replica whose entry was removed gets no request, in milliseconds.
const LEAVE_MS: u64 = 2_000;

/// Time for which a gateway that has started asks the store more often, in milliseconds.
const STARTUP_MS: u64 = 8_500;

#[tokio::test(flavor = "multi_thread")]
async fn replica_that_leaves_behind_silent_connections_to_the_store_gets_no_request() {
    let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("silent-store");
    let site = TestSite::start(logs, 3)
        .await
        .expect("the site should start");
    // Watches are under way and idle connections lie in the pools.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let leaving = site.plain_addresses[0];
    let id = site.replicas.state(leaving).id;
    site.replicas.change(leaving, |state| state.dead = true);
    tokio::time::sleep(Duration::from_millis(400)).await;
    site.store_network.silence_open_connections();
    site.store.remove(&format!("servers/{id}"));
    tokio::time::sleep(Duration::from_millis(CONTACT_MS + LEAVE_MS)).await;
    for gateway in 0..3 {
        let mut arrivals = 0;
        for number in 0..20 {
            let request = SiteRequest::lookup(&format!("{gateway}-{number}"));
            let before = site.replicas.state(leaving).arrivals;
            let answer = site.fetch(gateway, &request).await;
            let status = answer.expect("the gateway should respond").status;
            assert_eq!(status, 200, "gateway {gateway}");
            arrivals += site.replicas.state(leaving).arrivals - before;
        }
        assert_eq!(arrivals, 0, "gateway {gateway}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_replica_whose_report_is_behind_silent_connections_gets_no_request() {
    let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("silent-report");
    let site = TestSite::start(logs, 1)
        .await
        .expect("the site should start");
    tokio::time::sleep(Duration::from_millis(STARTUP_MS)).await;
    let leaving = site.plain_addresses[0];
    let id = site.replicas.state(leaving).id;
    // The report comes right after a watch, and is read with the next one at the earliest.
    let answered = site.store.answered_watches("servers/");
    while site.store.answered_watches("servers/") == answered {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    site.replicas.change(leaving, |state| state.dead = true);
    site.store.remove(&format!("servers/{id}"));
    tokio::time::sleep(Duration::from_millis(10)).await;
    site.store_network.silence_open_connections();
    tokio::time::sleep(Duration::from_millis(CONTACT_MS)).await;
    assert_eq!(site.count_arrivals(0, leaving).await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_in_the_last_moments_of_a_silent_outage_are_in_force_once_it_is_over() {
    /// Length of the outage, in milliseconds.
    const OUTAGE_MS: u64 = 3_300;
    /// Interval at which connections that were opened meanwhile go silent as well, in milliseconds.
    const SILENCE_MS: u64 = 50;
    let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("silent-outage");
    let mut site = TestSite::start(logs, 3)
        .await
        .expect("the site should start");
    let leaving = site.plain_addresses[0];
    let id = site.replicas.state(leaving).id;
    for _ in 0..OUTAGE_MS / SILENCE_MS {
        site.store_network.silence_open_connections();
        tokio::time::sleep(Duration::from_millis(SILENCE_MS)).await;
    }
    site.replicas.change(leaving, |state| state.dead = true);
    site.store.remove(&format!("servers/{id}"));
    site.set_api_keys(&["another-key"]);
    site.store_network.silence_open_connections();
    tokio::time::sleep(Duration::from_millis(CONTACT_MS + LEAVE_MS)).await;
    for gateway in 0..3 {
        let revoked = site
            .fetch(gateway, &SiteRequest::lookup(&format!("r{gateway}")))
            .await;
        let status = revoked.expect("the gateway should respond").status;
        assert_eq!(status, 401, "gateway {gateway}: a revoked key");
        let before = site.replicas.state(leaving).arrivals;
        for number in 0..10 {
            let request = SiteRequest {
                api_key: "another-key",
                ..SiteRequest::lookup(&format!("n{gateway}-{number}"))
            };
            let answer = site.fetch(gateway, &request).await;
            let status = answer.expect("the gateway should respond").status;
            assert_eq!(status, 200, "gateway {gateway}: a new key");
        }
        let arrivals = site.replicas.state(leaving).arrivals - before;
        assert_eq!(arrivals, 0, "gateway {gateway}: a replica that left");
    }
}
