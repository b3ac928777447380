//! Replicas that start anew under the id and address that they had: what they say before the registry
//! has the entry of the new incarnation.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use futures_util::future::join_all;
use standins::replica::ReplicaState;
use standins::site::{SiteRequest, TestSite};

/// Time after which a gateway that passed on that a replica is leaving sends it no request, in
/// milliseconds. It is the shortest of the users' sites.
const LEAVE_MS: u64 = 2_000;
/// Time within which gateways read the entry of a new incarnation, in milliseconds.
const REGISTRY_READ_MS: u64 = 1_500;

async fn start_site(name: &str, gateways: usize) -> TestSite {
    let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    TestSite::start(logs, gateways)
        .await
        .expect("the site should start")
}

/// A replica that says that it is leaving while the registry has no news of it.
struct LeavingCase {
    name: &'static str,
    /// Whether an incarnation says so that the registry does not know yet, and not the one before.
    is_reborn: bool,
    /// Whether the store is out meanwhile.
    store_out: bool,
    /// Whether the gateways restart once they have heard it.
    restarted: bool,
}

const LEAVING_CASES: [LeavingCase; 3] = [
    LeavingCase {
        name: "quiet",
        is_reborn: true,
        store_out: false,
        restarted: false,
    },
    LeavingCase {
        name: "outage",
        is_reborn: true,
        store_out: true,
        restarted: false,
    },
    LeavingCase {
        name: "restart",
        is_reborn: true,
        store_out: false,
        restarted: true,
    },
];

/// Has a replica say that it is leaving, then lets the entry of its new incarnation appear.
async fn play(case: &LeavingCase) -> (TestSite, SocketAddr) {
    let name = format!("reborn-{}-{}", case.name, case.is_reborn);
    let mut site = start_site(&name, 3).await;
    let replica = site.plain_addresses[0];
    site.store.set_outage(case.store_out);
    site.replicas.change(replica, |state| {
        state.dead = true;
        state.leaving = true;
        state.incarnation += u64::from(case.is_reborn);
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(site.count_arrivals(0, replica).await, 1, "{}", case.name);
    // The other gateways were told.
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(site.count_arrivals(1, replica).await, 0, "{}", case.name);
    tokio::time::sleep(Duration::from_millis(LEAVE_MS)).await;
    if case.restarted {
        site.restart_all_gateways()
            .await
            .expect("the gateways should restart");
    }
    site.replicas.change(replica, |state| {
        state.dead = false;
        if !case.is_reborn {
            state.leaving = false;
            state.incarnation += 1;
        }
    });
    site.store.set_outage(false);
    tokio::time::sleep(Duration::from_millis(REGISTRY_READ_MS)).await;
    (site, replica)
}

#[tokio::test(flavor = "multi_thread")]
async fn incarnation_that_said_it_is_leaving_before_its_entry_was_known_gets_no_request() {
    for case in LEAVING_CASES {
        let (site, replica) = play(&case).await;
        for gateway in 0..3 {
            let arrivals = site.count_arrivals(gateway, replica).await;
            assert_eq!(arrivals, 0, "{}, gateway {gateway}", case.name);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn incarnation_after_one_that_left_is_used_once_its_entry_is_known() {
    for case in LEAVING_CASES {
        let case = LeavingCase {
            is_reborn: false,
            ..case
        };
        let (site, replica) = play(&case).await;
        for gateway in 0..3 {
            let arrivals = site.count_arrivals(gateway, replica).await;
            assert_ne!(arrivals, 0, "{}, gateway {gateway}", case.name);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn what_an_incarnation_asked_for_before_its_entry_was_known_is_kept() {
    struct Case {
        name: &'static str,
        ask: fn(&mut ReplicaState),
        /// Requests that may reach it at once through three gateways, by the users' rules: two for
        /// each while it asks to be left alone; for a limit of two a second, one and a half times
        /// what it allows in four seconds, and five.
        allowed: u32,
    }
    let cases = [
        Case {
            name: "reborn-rest",
            ask: |state| state.rest = "10",
            allowed: 6,
        },
        Case {
            name: "reborn-limit",
            ask: |state| state.limits = &["2"],
            allowed: 17,
        },
    ];
    for case in cases {
        let site = start_site(case.name, 3).await;
        let replica = site.plain_addresses[0];
        site.replicas.change(replica, |state| {
            state.dead = true;
            state.incarnation += 1;
            (case.ask)(state);
        });
        for gateway in 0..3 {
            site.count_arrivals(gateway, replica).await;
        }
        site.replicas.change(replica, |state| state.dead = false);
        tokio::time::sleep(Duration::from_millis(REGISTRY_READ_MS)).await;
        let before = site.replicas.state(replica).arrivals;
        let requests = (0..90).map(|number| {
            let request = SiteRequest::lookup(&format!("q{number}"));
            let site = &site;
            async move { site.fetch(number % 3, &request).await }
        });
        for answer in join_all(requests).await {
            let status = answer.expect("the gateway should respond").status;
            assert!([200, 503].contains(&status), "{}: {status}", case.name);
        }
        let arrivals = site.replicas.state(replica).arrivals - before;
        assert!(arrivals <= case.allowed, "{}: {arrivals}", case.name);
    }
}
