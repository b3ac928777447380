//! End-to-end tests of gateway processes over sockets: failures of replicas, gateways, the store
//! and callers that the gateways must handle.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use lynxcart::fingerprint::RequestFingerprint;
use standins::replica::{ReplicaFault, EVENT_INTERVAL_MS};
use standins::site::{read_response, SiteRequest, TestSite, API_KEY};

/// Longest pause between two events that callers accept before they give up on a stream.
const MAX_CALLER_WAIT: Duration = Duration::from_secs(2);

async fn start_site(name: &str, gateways: usize) -> TestSite {
    let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    TestSite::start(logs, gateways)
        .await
        .expect("the site should start")
}

fn expected_ids(count: u64) -> Vec<u64> {
    (1..=count).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn responses_are_complete_and_upstreams_get_the_team_but_not_the_key() {
    let site = start_site("gateway-whole", 2).await;
    let answer = site
        .fetch(0, &SiteRequest::stream("s1", 40))
        .await
        .expect("the stream should complete");
    assert_eq!(answer.status, 200);
    assert_eq!(answer.event_ids(), expected_ids(40));
    assert_eq!(answer.headers["x-attempt-id"], "s1");
    let answer = site
        .fetch(1, &SiteRequest::issue("c1"))
        .await
        .expect("the gateway should respond");
    assert_eq!((answer.status, answer.body.as_str()), (200, "body of c1"));
    assert_eq!(answer.headers["x-replica-stamp"], "stamp");
    for run in site.replicas.runs() {
        assert_eq!(
            (run.team.as_str(), run.has_api_key),
            ("mill", false),
            "{run:?}"
        );
        assert_eq!(run.body, format!("body of {}", run.request_id));
    }
    let unknown_key = SiteRequest {
        api_key: "no-such-key",
        ..SiteRequest::issue("c2")
    };
    assert_eq!(
        site.fetch(0, &unknown_key)
            .await
            .expect("the gateway should respond")
            .status,
        401
    );
    let unknown_path = SiteRequest {
        path: "/nowhere/",
        ..SiteRequest::issue("c3")
    };
    assert_eq!(
        site.fetch(0, &unknown_path)
            .await
            .expect("the gateway should respond")
            .status,
        404
    );
    assert_eq!((site.run_count("c2"), site.run_count("c3")), (0, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_rerouted_around_a_dead_stage_before_the_caller_gives_up() {
    let site = start_site("gateway-stage", 1).await;
    let response = site
        .send(0, &SiteRequest::stream("s1", 150))
        .await
        .expect("the stream should open");
    let chain = site
        .wait_chain("s1")
        .await
        .expect("the stream should have a chain");
    assert!(chain.len() > 1, "{chain:?}");
    site.replicas.change(chain[1], |state| state.dead = true);
    let answer = read_response(response)
        .await
        .expect("the stream should complete");
    assert_eq!(answer.event_ids(), expected_ids(150));
    assert!(
        answer.longest_pause < MAX_CALLER_WAIT,
        "paused for {:?}",
        answer.longest_pause
    );
    // The next request is not sent through the dead stage.
    let began = Instant::now();
    let answer = site
        .fetch(0, &SiteRequest::stream("s2", 10))
        .await
        .expect("the stream should complete");
    assert_eq!(answer.event_ids(), expected_ids(10));
    assert!(began.elapsed() < MAX_CALLER_WAIT);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_stream_without_an_alternative_chain_is_not_ended() {
    let site = start_site("gateway-silent", 1).await;
    let response = site
        .send(0, &SiteRequest::stream("s1", 150))
        .await
        .expect("the stream should open");
    let chain = site
        .wait_chain("s1")
        .await
        .expect("the stream should have a chain");
    let held = site.replicas.state(chain[1]).layers;
    // All replicas that hold this range are cut off, for less time than callers wait for an event.
    let models = site.model_addresses.iter().copied();
    let holders: Vec<_> = models
        .filter(|address| site.replicas.state(*address).layers == held)
        .collect();
    let set_dead = |dead| {
        for address in &holders {
            site.replicas.change(*address, |state| state.dead = dead);
        }
    };
    set_dead(true);
    tokio::time::sleep(Duration::from_millis(1_300)).await;
    set_dead(false);
    let answer = read_response(response)
        .await
        .expect("the stream should complete");
    assert_eq!(answer.event_ids(), expected_ids(150));
    assert_eq!(site.run_count("s1"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_resumes_without_gaps_or_duplicates_after_its_first_replica_dies() {
    let site = start_site("gateway-first", 1).await;
    let response = site
        .send(0, &SiteRequest::stream("s1", 150))
        .await
        .expect("the stream should open");
    let chain = site
        .wait_chain("s1")
        .await
        .expect("the stream should have a chain");
    tokio::time::sleep(Duration::from_millis(EVENT_INTERVAL_MS * 20)).await;
    site.replicas.change(chain[0], |state| state.dead = true);
    let answer = read_response(response)
        .await
        .expect("the stream should complete");
    assert_eq!(answer.event_ids(), expected_ids(150));
    assert!(
        answer.longest_pause < MAX_CALLER_WAIT,
        "paused for {:?}",
        answer.longest_pause
    );
    assert_eq!(site.run_count("s1"), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_and_refused_requests_get_statuses_that_tell_whether_they_ran() {
    let site = start_site("gateway-verdict", 1).await;
    let set_fault = |fault| {
        for address in &site.plain_addresses {
            site.replicas.change(*address, |state| state.fault = fault);
        }
    };
    for (number, fault) in [ReplicaFault::LosesResponse, ReplicaFault::WrongRequestId]
        .into_iter()
        .enumerate()
    {
        set_fault(fault);
        let id = format!("lost-{number}");
        let answer = site
            .fetch(0, &SiteRequest::issue(&id))
            .await
            .expect("the gateway should respond");
        assert_eq!(
            answer.status, 502,
            "{fault:?}: the status must not promise that the request did not run"
        );
        assert_eq!(
            site.run_count(&id),
            1,
            "{fault:?}: the request ran and must not be retried"
        );
        assert!(!answer.headers.contains_key("x-replica-stamp"));
        let id = format!("lookup-{number}");
        let answer = site
            .fetch(0, &SiteRequest::lookup(&id))
            .await
            .expect("the gateway should respond");
        assert_eq!(
            (answer.status, site.run_count(&id)),
            (502, 2),
            "{fault:?}: the request is idempotent and should be retried"
        );
    }
    set_fault(ReplicaFault::Refuses);
    let answer = site
        .fetch(0, &SiteRequest::issue("full"))
        .await
        .expect("the gateway should respond");
    assert_eq!((answer.status, site.run_count("full")), (503, 0));
    let retry_after_s: f64 = answer.headers["retry-after"]
        .to_str()
        .unwrap()
        .parse()
        .expect("retry-after should be a number of seconds");
    assert!(retry_after_s > 0.0 && retry_after_s < 3.0);
    // One replica is healthy again: requests that the other one refuses are retried there.
    site.replicas.change(site.plain_addresses[0], |state| {
        state.fault = ReplicaFault::None
    });
    for number in 0..10 {
        let id = format!("mixed-{number}");
        let answer = site
            .fetch(0, &SiteRequest::issue(&id))
            .await
            .expect("the gateway should respond");
        assert_eq!((answer.status, site.run_count(&id)), (200, 1));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_stop_working_within_their_bound_in_a_store_outage_and_work_again_after_it() {
    let mut site = start_site("gateway-store", 1).await;
    site.store.set_outage(true);
    let outage_start = Instant::now();
    assert_eq!(
        site.fetch(0, &SiteRequest::issue("soon"))
            .await
            .expect("the gateway should respond")
            .status,
        200
    );
    site.wait_until_ready(0, false)
        .await
        .expect("the gateway should become unready");
    assert!(outage_start.elapsed() < Duration::from_millis(5_000));
    tokio::time::sleep(Duration::from_millis(5_000).saturating_sub(outage_start.elapsed())).await;
    let answer = site
        .fetch(0, &SiteRequest::issue("late"))
        .await
        .expect("the gateway should respond");
    assert_eq!((answer.status, site.run_count("late")), (503, 0));
    assert!(answer.headers.contains_key("retry-after"));
    // A key that is revoked during the outage must not work when the store recovers.
    site.set_api_keys(&[]);
    site.store.set_outage(false);
    site.wait_until_ready(0, true)
        .await
        .expect("the gateway should become ready");
    assert_eq!(
        site.fetch(0, &SiteRequest::issue("gone"))
            .await
            .expect("the gateway should respond")
            .status,
        401
    );
    site.set_api_keys(&[API_KEY]);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(
        site.fetch(0, &SiteRequest::issue("back"))
            .await
            .expect("the gateway should respond")
            .status,
        200
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_work_again_when_the_store_recovers_for_a_second_between_outages() {
    let site = start_site("gateway-back", 1).await;
    for round in 0..3 {
        site.store.set_outage(true);
        site.wait_until_ready(0, false)
            .await
            .expect("the gateway should become unready");
        // Nothing changed in the store, so a watch that waits for changes would not return. The
        // gateway must notice the recovery without a change.
        site.store.set_outage(false);
        tokio::time::sleep(Duration::from_secs(1)).await;
        let request = SiteRequest::issue(&format!("back-{round}"));
        let answer = site
            .fetch(0, &request)
            .await
            .expect("the gateway should respond");
        assert_eq!(answer.status, 200, "round {round}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_completes_requests_and_closes_connections() {
    let mut site = start_site("gateway-stop", 2).await;
    let response = site
        .send(0, &SiteRequest::stream("s1", 300))
        .await
        .expect("the stream should open");
    site.gateways[0]
        .process
        .signal("TERM")
        .expect("the signal should be sent");
    site.wait_until_ready(0, false)
        .await
        .expect("the gateway should become unready");
    let during_shutdown = site
        .fetch(0, &SiteRequest::issue("c1"))
        .await
        .expect("the gateway should respond");
    assert_eq!(
        during_shutdown.status, 200,
        "new connections should be accepted for a while"
    );
    assert_eq!(during_shutdown.headers["connection"], "close");
    let answer = read_response(response)
        .await
        .expect("the stream should complete");
    assert_eq!(answer.event_ids(), expected_ids(300));
    let code = site.gateways[0]
        .process
        .wait_for_exit(Duration::from_secs(9))
        .expect("the gateway should exit");
    assert_eq!(code, 0, "no request should be cut short");
    assert_eq!(
        site.fetch(1, &SiteRequest::issue("c2"))
            .await
            .expect("the gateway should respond")
            .status,
        200
    );
}

/// Streams that outlast the bound of a graceful shutdown, some of them stalled, do not keep the
/// process from exiting before the platform kills it.
#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_ends_at_its_bound() {
    let mut site = start_site("gateway-bound", 1).await;
    let mut streams = Vec::new();
    for number in 0..8 {
        let request = SiteRequest::stream(&format!("s{number}"), 5_000);
        let stream = site.send(0, &request).await;
        streams.push(stream.expect("the stream should open"));
    }
    let chain = site
        .wait_chain("s0")
        .await
        .expect("the stream should have a chain");
    let held = site.replicas.state(chain[1]).layers;
    for address in &site.model_addresses {
        if site.replicas.state(*address).layers == held {
            site.replicas.change(*address, |state| state.dead = true);
        }
    }
    site.gateways[0]
        .process
        .signal("TERM")
        .expect("the signal should be sent");
    let code = site.gateways[0]
        .process
        .wait_for_exit(Duration::from_secs(8))
        .expect("the gateway should exit before it is killed");
    assert_eq!(code, 3, "requests were cut short");
}

#[tokio::test(flavor = "multi_thread")]
async fn upstream_work_ends_soon_after_the_caller_disconnects() {
    let site = start_site("gateway-left", 1).await;
    let mut response = site
        .send(0, &SiteRequest::stream("s1", 600))
        .await
        .expect("the stream should open");
    response
        .body_mut()
        .frame()
        .await
        .expect("an event should arrive")
        .expect("an event should arrive");
    assert!(!site.replicas.chain("s1").is_empty());
    drop(response);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(
        site.replicas.chain("s1").is_empty(),
        "a replica is still working on the request"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_accelerator_is_reloaded_after_a_gateway_is_killed() {
    let mut site = start_site("gateway-placement", 2).await;
    // The placement lease is held by the killed gateway or by the other one; the test covers
    // whichever it is. Then one accelerator loses its layers, as after a restart of its replica.
    site.gateways[0]
        .process
        .kill()
        .expect("the gateway should be killed");
    let accelerator = site.model_addresses[0];
    let held = site.replicas.state(accelerator).layers;
    assert_ne!(held, (0, 0));
    site.replicas.change(accelerator, |state| {
        state.incarnation = 2;
        state.accepted_orders = 0;
        state.fencing_token = 0;
        state.layers = (0, 0);
    });
    let began = Instant::now();
    while site.replicas.state(accelerator).layers != held {
        assert!(
            began.elapsed() < Duration::from_secs(12),
            "the accelerator was not reloaded"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let answer = site
        .fetch(1, &SiteRequest::stream("s1", 10))
        .await
        .expect("the stream should complete");
    assert_eq!(answer.event_ids(), expected_ids(10));
}

/// The store comes back from a copy that lacks a revocation. No gateway goes back to the older
/// configuration, and one that starts before the operator has written again serves no key with it.
#[tokio::test(flavor = "multi_thread")]
async fn revoked_key_stays_revoked_after_a_restore_of_the_store() {
    let mut site = start_site("gateway-restore", 2).await;
    let copy = site.store.copy();
    site.set_api_keys(&["another-key"]);
    for gateway in 0..2 {
        wait_for_status(&site, gateway, 401).await;
    }
    site.store.restore(copy);
    site.gateways[1]
        .process
        .kill()
        .expect("the gateway should be killed");
    site.restart_gateway(1).expect("the gateway should restart");
    let began = Instant::now();
    let mut statuses = [0, 0];
    while began.elapsed() < Duration::from_secs(4) {
        for (gateway, count) in statuses.iter_mut().enumerate() {
            let id = format!("old-{gateway}-{}", began.elapsed().as_millis());
            // The gateway may not listen yet.
            let Ok(answer) = site.fetch(gateway, &SiteRequest::issue(&id)).await else {
                continue;
            };
            *count += 1;
            assert!(
                [401, 503].contains(&answer.status),
                "gateway {gateway} answered {} to a revoked key",
                answer.status
            );
            assert_eq!(site.run_count(&id), 0, "gateway {gateway}");
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(statuses.iter().all(|count| *count > 20), "{statuses:?}");
    // The operator writes again, and both serve the keys that hold.
    site.set_api_keys(&[API_KEY]);
    for gateway in 0..2 {
        site.wait_until_ready(gateway, true)
            .await
            .expect("the gateway should become ready");
        wait_for_status(&site, gateway, 200).await;
    }
}

/// What is written in the restored store under revisions that were given out before is not missed,
/// though the store's revision has caught up when the gateways reach it again.
#[tokio::test(flavor = "multi_thread")]
async fn changes_under_repeated_revisions_are_seen_after_a_restore() {
    let mut site = start_site("gateway-repeated", 2).await;
    let copy = site.store.copy();
    for number in 0..40 {
        site.store
            .put(&format!("op/other-{number}"), &number.into());
    }
    // Both have seen these revisions.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let seen = site.store.revision();
    site.store.set_outage(true);
    // No watch waits any more that the restore could cut.
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.store.restore(copy);
    site.set_api_keys(&["another-key"]);
    assert!(site.store.revision() < seen);
    while site.store.revision() <= seen {
        site.store.put("op/other", &0.into());
    }
    site.store.set_outage(false);
    for gateway in 0..2 {
        wait_for_status(&site, gateway, 401).await;
    }
}

/// Sends requests until one is answered with `status`, for a second at most.
async fn wait_for_status(site: &TestSite, gateway: usize, status: u16) {
    for attempt in 0..50 {
        let id = format!("wait-{gateway}-{status}-{attempt}");
        let answer = site.fetch(gateway, &SiteRequest::issue(&id)).await;
        if answer.expect("the gateway should respond").status == status {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("gateway {gateway} did not answer {status}");
}

/// The copy lacks the placement lease, the plan and what replicas wrote last. Orders go on, though
/// replicas have seen a fencing token of a higher revision.
#[tokio::test(flavor = "multi_thread")]
async fn lost_accelerator_is_reloaded_after_a_restore_of_the_store() {
    let mut site = start_site("gateway-restore-plan", 2).await;
    let copy = site.store.copy();
    // Several lease holders, so that the copy's revisions fall far behind.
    for round in 0..40 {
        site.store.put(&format!("op/other-{round}"), &round.into());
    }
    site.gateways[0]
        .process
        .kill()
        .expect("the gateway should be killed");
    site.restart_gateway(0).expect("the gateway should restart");
    site.wait_until_ready(0, true)
        .await
        .expect("the gateway should become ready");
    tokio::time::sleep(Duration::from_secs(5)).await;
    let accelerator = site.model_addresses[0];
    // The last lease holder sent it an order, in a store that others write to as well.
    site.replicas
        .change(accelerator, |state| state.fencing_token = 1_000_000);
    site.store.restore(copy);
    let held = site.replicas.state(accelerator).layers;
    assert_ne!(held, (0, 0));
    site.replicas.change(accelerator, |state| {
        state.incarnation = 2;
        state.accepted_orders = 0;
        state.layers = (0, 0);
    });
    let began = Instant::now();
    while site.replicas.state(accelerator).layers != held {
        assert!(
            began.elapsed() < Duration::from_secs(12),
            "the accelerator was not reloaded"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    for gateway in 0..2 {
        let request = SiteRequest::stream(&format!("s{gateway}"), 10);
        let answer = site
            .fetch(gateway, &request)
            .await
            .expect("the stream should complete");
        assert_eq!(answer.event_ids(), expected_ids(10));
    }
}

/// A replica says in its answers that it is leaving, and the store is away, so that the registry
/// never says so.
#[tokio::test(flavor = "multi_thread")]
async fn replica_that_says_that_it_is_leaving_gets_no_further_requests() {
    let site = start_site("gateway-leaving", 2).await;
    site.store.set_outage(true);
    let leaving = site.plain_addresses[0];
    site.replicas.change(leaving, |state| state.leaving = true);
    let arrivals = || site.replicas.state(leaving).arrivals;
    for number in 0..20 {
        let answer = site
            .fetch(0, &SiteRequest::issue(&format!("c{number}")))
            .await
            .expect("the gateway should respond");
        assert_eq!(answer.status, 200);
    }
    assert_eq!(arrivals(), 1, "the answer that said so was the last");
    // The other gateway was told.
    tokio::time::sleep(Duration::from_millis(200)).await;
    for number in 0..20 {
        let answer = site
            .fetch(1, &SiteRequest::issue(&format!("d{number}")))
            .await
            .expect("the gateway should respond");
        assert_eq!(answer.status, 200);
    }
    assert_eq!(arrivals(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_replica_gets_no_request_after_its_entry_lapsed_and_returned() {
    let site = start_site("gateway-leaving-lapse", 2).await;
    let leaving = site.plain_addresses[0];
    site.replicas.change(leaving, |state| state.leaving = true);
    assert_eq!(site.count_arrivals(0, leaving).await, 1);
    // The platform takes the entry out although the replica still runs.
    let id = site.replicas.state(leaving).id;
    site.replicas.change(leaving, |state| state.dead = true);
    tokio::time::sleep(Duration::from_millis(400)).await;
    site.store.remove(&format!("servers/{id}"));
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    site.replicas.change(leaving, |state| state.dead = false);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for gateway in 0..2 {
        assert_eq!(site.count_arrivals(gateway, leaving).await, 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_replica_gets_no_request_from_gateways_that_restart() {
    check_leaving_over_restart("gateway-leaving-restart", false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_replica_gets_no_request_after_a_restore_and_a_restart() {
    check_leaving_over_restart("gateway-leaving-restore", true).await;
}

/// Restarts all gateways after one heard that a replica is leaving; before, if `restored` is set,
/// the store goes back to a copy from before that.
async fn check_leaving_over_restart(name: &str, restored: bool) {
    let mut site = start_site(name, 2).await;
    let copy = site.store.copy();
    let leaving = site.plain_addresses[0];
    site.replicas.change(leaving, |state| state.leaving = true);
    assert_eq!(site.count_arrivals(0, leaving).await, 1);
    tokio::time::sleep(Duration::from_millis(300)).await;
    if restored {
        site.store.restore(copy);
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    site.restart_all_gateways()
        .await
        .expect("the gateways should restart");
    for gateway in 0..2 {
        assert_eq!(site.count_arrivals(gateway, leaving).await, 0);
    }
    // It gets requests again when it has started again.
    site.replicas.change(leaving, |state| {
        state.leaving = false;
        state.incarnation += 1;
    });
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for gateway in 0..2 {
        assert_ne!(site.count_arrivals(gateway, leaving).await, 0);
    }
}

/// The first replica of a stream's chain says that it is leaving: the stream goes on to its end,
/// and no new chain has the replica.
#[tokio::test(flavor = "multi_thread")]
async fn stage_that_says_that_it_is_leaving_is_in_no_new_chain() {
    let site = start_site("gateway-leaving-stage", 1).await;
    let first = site
        .send(0, &SiteRequest::stream("s0", 100))
        .await
        .expect("the stream should open");
    let leaving = site
        .wait_chain("s0")
        .await
        .expect("the stream should have a chain")[0];
    site.replicas.change(leaving, |state| state.leaving = true);
    let mut seen = 0;
    for number in 1..30 {
        let id = format!("s{number}");
        let response = site
            .send(0, &SiteRequest::stream(&id, 3))
            .await
            .expect("the stream should open");
        let chain = site.wait_chain(&id).await.expect("a chain");
        seen += u32::from(chain.contains(&leaving));
        let answer = read_response(response)
            .await
            .expect("the stream should complete");
        assert_eq!(answer.event_ids(), expected_ids(3));
    }
    assert!(
        seen <= 1,
        "{seen} new chains over a replica that is leaving"
    );
    let answer = read_response(first)
        .await
        .expect("the stream should complete");
    assert_eq!(answer.event_ids(), expected_ids(100));
}

#[tokio::test(flavor = "multi_thread")]
async fn replica_that_asks_to_be_left_alone_is_left_alone() {
    let site = start_site("gateway-rest", 1).await;
    let resting = site.plain_addresses[0];
    let arrivals = || site.replicas.state(resting).arrivals;
    site.replicas.change(resting, |state| state.rest = "1.5");
    let send_many = |prefix: &'static str, count: u32| {
        let site = &site;
        async move {
            for number in 0..count {
                let answer = site
                    .fetch(0, &SiteRequest::issue(&format!("{prefix}{number}")))
                    .await
                    .expect("the gateway should respond");
                assert_eq!(answer.status, 200, "{prefix}{number}");
            }
        }
    };
    let began = Instant::now();
    send_many("c", 20).await;
    assert!(began.elapsed() < Duration::from_millis(1_500));
    assert_eq!(arrivals(), 1, "the refusal was the last");
    // After the time it is asked again.
    tokio::time::sleep(Duration::from_millis(1_600)).await;
    site.replicas.change(resting, |state| state.rest = "");
    send_many("d", 20).await;
    assert!(arrivals() > 1, "the replica is never asked again");

    // All ask for it: callers are told at once when to come back.
    for address in &site.plain_addresses {
        site.replicas.change(*address, |state| state.rest = "3");
    }
    for number in 0..2 {
        let request = SiteRequest::issue(&format!("e{number}"));
        site.fetch(0, &request)
            .await
            .expect("the gateway should respond");
    }
    let before: u32 = arrivals_of(&site);
    let asked = Instant::now();
    let answer = site
        .fetch(0, &SiteRequest::issue("f"))
        .await
        .expect("the gateway should respond");
    assert_eq!((answer.status, site.run_count("f")), (503, 0));
    assert!(asked.elapsed() < Duration::from_millis(100));
    let retry_after_s: f64 = answer.headers["retry-after"]
        .to_str()
        .expect("retry-after should be text")
        .parse()
        .expect("retry-after should be a number of seconds");
    assert!(
        (2.0..=3.0).contains(&retry_after_s),
        "retry-after {retry_after_s}"
    );
    assert_eq!(arrivals_of(&site), before);
}

fn arrivals_of(site: &TestSite) -> u32 {
    let addresses = site.plain_addresses.iter();
    addresses
        .map(|address| site.replicas.state(*address).arrivals)
        .sum()
}

/// Notices of a gateway that this one cannot hear, as when the VMs are cut off from each other.
#[tokio::test(flavor = "multi_thread")]
async fn notices_in_the_store_hold_for_gateways_that_no_peer_can_tell() {
    let site = start_site("gateway-notices", 1).await;
    let leaving = site.plain_addresses[0];
    let id = site.replicas.state(leaving).id;
    site.store
        .put(&format!("lynxcart/notices/leaving/{id}"), &1.into());
    let refused = SiteRequest {
        body: "refused",
        ..SiteRequest::lookup("q")
    };
    let parts: [&[u8]; 4] = [b"mill", b"POST", b"/lookup/x", b"refused"];
    let fingerprint = RequestFingerprint::of(&parts);
    let key = format!("lynxcart/notices/quarantine/{fingerprint}");
    site.store.put(&key, &0.into());
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(site.count_arrivals(0, leaving).await, 0);
    let answer = site.fetch(0, &refused).await;
    assert_eq!(answer.expect("the gateway should respond").status, 503);
    assert_eq!(site.run_count("q"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn notice_of_a_gateway_that_died_before_it_could_write_is_written_by_its_peers() {
    let mut site = start_site("gateway-notice-peers", 2).await;
    let leaving = site.plain_addresses[0];
    site.store.set_outage(true);
    site.replicas.change(leaving, |state| state.leaving = true);
    assert_eq!(site.count_arrivals(0, leaving).await, 1);
    tokio::time::sleep(Duration::from_millis(600)).await;
    let process = &mut site.gateways[0].process;
    process.kill().expect("the gateway should be killed");
    site.store.set_outage(false);
    // Twice the shortest interval at which gateways check what the store lacks, and the write.
    tokio::time::sleep(Duration::from_secs(9)).await;
    site.restart_gateway(0).expect("the gateway should restart");
    site.wait_until_ready(0, true)
        .await
        .expect("the gateway should become ready");
    assert_eq!(site.count_arrivals(0, leaving).await, 0);
}
