//! Requests that crash the replicas that run them, sent again and again to gateway processes.

use std::path::PathBuf;
use std::time::Duration;

use standins::replica::{ReplicaFault, CRASHES_FIRST, CRASHES_LAST};
use standins::site::{SiteRequest, TestSite};

/// Crashes from which on a request has to be known to all gateways.
const MAX_CRASHES: usize = 3;
/// Time that the gateways have for that.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Replicas that the request may reach after that time.
const MAX_LATE_RETRIES: usize = 3;
/// The request as sent first may lose three replicas, which may have failed together, and counts
/// once then; as resent, it counts for each.
const MAX_CRASHES_IN_ALL: usize = 2 * MAX_CRASHES - 1;
/// Time in which gateways tell each other of a crash.
const NOTICE_TIME: Duration = Duration::from_millis(600);

async fn start_site(name: &str, gateways: usize) -> TestSite {
    let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    TestSite::start(logs, gateways)
        .await
        .expect("the site should start")
}

fn crashing(request: SiteRequest, body: &'static str) -> SiteRequest {
    SiteRequest { body, ..request }
}

/// Sends the same request `rounds` times, to each gateway in turn. Returns the statuses; zero for a
/// connection that ended without an answer.
async fn send_rounds(site: &TestSite, rounds: usize, request: &SiteRequest) -> Vec<u16> {
    let mut statuses = Vec::new();
    for round in 0..rounds {
        let request = SiteRequest {
            id: format!("{}-{round}", request.id),
            ..request.clone()
        };
        let answer = site.fetch(round % site.gateways.len(), &request).await;
        let status = answer.map_or(0, |answer| answer.status);
        if status == 503 {
            assert_eq!(site.run_count(&request.id), 0, "{} has run", request.id);
        }
        statuses.push(status);
        tokio::time::sleep(NOTICE_TIME).await;
    }
    statuses
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashes_replicas_is_not_sent_on_by_any_gateway() {
    struct Case {
        name: &'static str,
        request: SiteRequest,
    }
    let cases = [
        Case {
            name: "crashing-lookup",
            request: crashing(SiteRequest::lookup("p"), CRASHES_FIRST),
        },
        Case {
            name: "crashing-issue",
            request: crashing(SiteRequest::issue("p"), CRASHES_FIRST),
        },
        Case {
            name: "crashing-first-of-chain",
            request: crashing(SiteRequest::stream("p", 20), CRASHES_FIRST),
        },
        Case {
            name: "crashing-last-of-chain",
            request: crashing(SiteRequest::stream("p", 20), CRASHES_LAST),
        },
    ];
    for case in cases {
        let site = start_site(case.name, 3).await;
        let statuses = send_rounds(&site, 10, &case.request).await;
        let crashes = site.replicas.crashes();
        assert!(
            (MAX_CRASHES..=MAX_CRASHES_IN_ALL).contains(&crashes.len()),
            "{}: {} replicas crashed, {statuses:?}",
            case.name,
            crashes.len()
        );
        let third = crashes[MAX_CRASHES - 1];
        let late = crashes.iter().filter(|at| **at > third + CONTACT_TIME);
        assert!(late.count() <= MAX_LATE_RETRIES, "{}", case.name);
        assert_eq!(statuses[7..], [503; 3], "{}: {statuses:?}", case.name);
        // The same request with another body is another one.
        let sound = SiteRequest {
            id: "sound".to_owned(),
            body: "",
            ..case.request
        };
        let answer = site.fetch(0, &sound).await;
        assert_eq!(
            answer.expect("the gateway should respond").status,
            200,
            "{}",
            case.name
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn error_of_a_replica_does_not_clear_a_request_that_crashes_others() {
    let site = start_site("crashing-beside-errors", 3).await;
    site.replicas.change(site.plain_addresses[1], |state| {
        state.fault = ReplicaFault::Fails;
    });
    let request = crashing(SiteRequest::issue("p"), CRASHES_FIRST);
    let statuses = send_rounds(&site, 24, &request).await;
    let crashes = site.replicas.crashes().len();
    assert!(crashes >= MAX_CRASHES, "{crashes} replicas, {statuses:?}");
    assert!(
        crashes <= MAX_CRASHES_IN_ALL,
        "{crashes} replicas crashed, {statuses:?}"
    );
    assert_eq!(statuses[20..], [503; 4], "{statuses:?}");
}

/// Without this, one stream of twenty seconds takes down a replica for each reroute.
#[tokio::test(flavor = "multi_thread")]
async fn stream_that_crashes_replicas_is_not_rerouted_until_its_deadline() {
    let site = start_site("crashing-reroute", 1).await;
    let request = crashing(SiteRequest::stream("p", 20), CRASHES_LAST);
    let _ = site.fetch(0, &request).await;
    let crashes = site.replicas.crashes().len();
    assert!(crashes <= MAX_CRASHES, "{crashes}");
}

#[tokio::test(flavor = "multi_thread")]
async fn request_whose_callers_leave_before_the_crash_is_not_sent_on_for_ever() {
    let site = start_site("crashing-leaving", 2).await;
    for round in 0..30 {
        let request = SiteRequest {
            id: format!("left-{round}"),
            ..crashing(SiteRequest::lookup("p"), CRASHES_FIRST)
        };
        let left = site.fetch(round % 2, &request);
        let _ = tokio::time::timeout(Duration::from_millis(10), left).await;
        // Meets the crashed replica, unless it goes to the other one.
        for bystander in 0..6 {
            let request = SiteRequest::lookup(&format!("sound-{round}-{bystander}"));
            let _ = site.fetch(round % 2, &request).await;
        }
        tokio::time::sleep(NOTICE_TIME).await;
    }
    let crashes = site.replicas.crashes();
    assert!(crashes.len() >= MAX_CRASHES, "{}", crashes.len());
    let third = crashes[MAX_CRASHES - 1];
    let late = crashes.iter().filter(|at| **at > third + CONTACT_TIME);
    let late = late.count();
    assert!(
        late <= MAX_LATE_RETRIES,
        "{late} late, {} in all",
        crashes.len()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashed_replicas_is_refused_after_all_gateways_restart() {
    let mut site = start_site("crashing-restart", 2).await;
    let request = crashing(SiteRequest::lookup("p"), CRASHES_FIRST);
    send_rounds(&site, 6, &request).await;
    site.restart_all_gateways()
        .await
        .expect("the gateways should restart");
    let before = site.replicas.crashes().len();
    let request = SiteRequest {
        id: "again".to_owned(),
        ..request
    };
    assert_eq!(send_rounds(&site, 4, &request).await, [503; 4]);
    assert_eq!(site.replicas.crashes().len(), before);
}
