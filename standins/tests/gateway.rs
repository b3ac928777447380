//! The gateway's whole path over sockets, under the failures that the users name.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use standins::replica::{ReplicaFault, EVENT_MS};
use standins::site::{read_answer, Site, SiteCall, KEY};

/// Silence after which callers leave a stream.
const LEAVE: Duration = Duration::from_secs(2);

async fn site(name: &str, gateways: usize) -> Site {
    let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    Site::start(logs, gateways).await.expect("a site")
}

fn ids(count: u64) -> Vec<u64> {
    (1..=count).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_and_calls_come_whole_with_the_team_and_without_the_key() {
    let site = site("gateway-whole", 2).await;
    let answer = site
        .call(0, &SiteCall::stream("s1", 40))
        .await
        .expect("a whole stream");
    assert_eq!(answer.status, 200);
    assert_eq!(answer.event_ids(), ids(40));
    assert_eq!(answer.headers["x-attempt-id"], "s1");
    let answer = site
        .call(1, &SiteCall::issue("c1"))
        .await
        .expect("an answer");
    assert_eq!((answer.status, answer.body.as_str()), (200, "body of c1"));
    assert_eq!(answer.headers["x-replica-stamp"], "stamp");
    for run in site.replicas.runs() {
        assert_eq!((run.team.as_str(), run.has_key), ("mill", false), "{run:?}");
        assert_eq!(run.body, format!("body of {}", run.request));
    }
    let stranger = SiteCall {
        key: "no-such-key",
        ..SiteCall::issue("c2")
    };
    assert_eq!(
        site.call(0, &stranger).await.expect("an answer").status,
        401
    );
    let lost = SiteCall {
        path: "/nowhere/",
        ..SiteCall::issue("c3")
    };
    assert_eq!(site.call(0, &lost).await.expect("an answer").status, 404);
    assert_eq!((site.runs("c2"), site.runs("c3")), (0, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stage_that_dies_in_an_answer_is_gone_round_before_the_caller_leaves() {
    let site = site("gateway-stage", 1).await;
    let response = site
        .open(0, &SiteCall::stream("s1", 150))
        .await
        .expect("a stream");
    let chain = site.wait_chain("s1").await.expect("a chain");
    assert!(chain.len() > 1, "{chain:?}");
    site.replicas.change(chain[1], |state| state.dead = true);
    let answer = read_answer(response).await.expect("a whole stream");
    assert_eq!(answer.event_ids(), ids(150));
    assert!(
        answer.longest_pause < LEAVE,
        "paused for {:?}",
        answer.longest_pause
    );
    // The next request does not meet the dead stage.
    let began = Instant::now();
    let answer = site
        .call(0, &SiteCall::stream("s2", 10))
        .await
        .expect("a whole stream");
    assert_eq!(answer.event_ids(), ids(10));
    assert!(began.elapsed() < LEAVE);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_stream_that_can_go_nowhere_else_is_waited_for_and_not_ended() {
    let site = site("gateway-silent", 1).await;
    let response = site
        .open(0, &SiteCall::stream("s1", 150))
        .await
        .expect("a stream");
    let chain = site.wait_chain("s1").await.expect("a chain");
    let held = site.replicas.state(chain[1]).layers;
    // All that hold this range are cut off for a while, but less than callers bear.
    let models = site.models.iter().copied();
    let holders: Vec<_> = models
        .filter(|address| site.replicas.state(*address).layers == held)
        .collect();
    let set = |dead| {
        for address in &holders {
            site.replicas.change(*address, |state| state.dead = dead);
        }
    };
    set(true);
    tokio::time::sleep(Duration::from_millis(1_300)).await;
    set(false);
    let answer = read_answer(response).await.expect("a whole stream");
    assert_eq!(answer.event_ids(), ids(150));
    assert_eq!(site.runs("s1"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_first_replica_that_dies_is_followed_by_a_new_run_without_gap_or_double() {
    let site = site("gateway-first", 1).await;
    let response = site
        .open(0, &SiteCall::stream("s1", 150))
        .await
        .expect("a stream");
    let chain = site.wait_chain("s1").await.expect("a chain");
    tokio::time::sleep(Duration::from_millis(EVENT_MS * 20)).await;
    site.replicas.change(chain[0], |state| state.dead = true);
    let answer = read_answer(response).await.expect("a whole stream");
    assert_eq!(answer.event_ids(), ids(150));
    assert!(
        answer.longest_pause < LEAVE,
        "paused for {:?}",
        answer.longest_pause
    );
    assert_eq!(site.runs("s1"), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_and_refused_calls_are_answered_with_what_is_true() {
    let site = site("gateway-verdict", 1).await;
    let set = |fault| {
        for address in &site.plain {
            site.replicas.change(*address, |state| state.fault = fault);
        }
    };
    for (number, fault) in [ReplicaFault::LosesAnswer, ReplicaFault::AnswersAnother]
        .into_iter()
        .enumerate()
    {
        set(fault);
        let id = format!("lost-{number}");
        let answer = site
            .call(0, &SiteCall::issue(&id))
            .await
            .expect("an answer");
        assert_eq!(answer.status, 502, "{fault:?} promises nothing");
        assert_eq!(
            site.runs(&id),
            1,
            "{fault:?}: it ran, and was not sent again"
        );
        assert!(!answer.headers.contains_key("x-replica-stamp"));
        let id = format!("lookup-{number}");
        let answer = site
            .call(0, &SiteCall::lookup(&id))
            .await
            .expect("an answer");
        assert_eq!(
            (answer.status, site.runs(&id)),
            (502, 2),
            "{fault:?}: it may be repeated"
        );
    }
    set(ReplicaFault::Full);
    let answer = site
        .call(0, &SiteCall::issue("full"))
        .await
        .expect("an answer");
    assert_eq!((answer.status, site.runs("full")), (503, 0));
    let after: f64 = answer.headers["retry-after"]
        .to_str()
        .unwrap()
        .parse()
        .expect("seconds");
    assert!(after > 0.0 && after < 3.0);
    // One replica is well: the call that the other refused gets there.
    site.replicas
        .change(site.plain[0], |state| state.fault = ReplicaFault::None);
    for number in 0..10 {
        let id = format!("mixed-{number}");
        let answer = site
            .call(0, &SiteCall::issue(&id))
            .await
            .expect("an answer");
        assert_eq!((answer.status, site.runs(&id)), (200, 1));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn without_the_store_keys_work_no_longer_than_their_bound_and_come_back_with_it() {
    let mut site = site("gateway-store", 1).await;
    site.store.set_down(true);
    let down = Instant::now();
    assert_eq!(
        site.call(0, &SiteCall::issue("soon"))
            .await
            .expect("an answer")
            .status,
        200
    );
    site.wait_ready(0, false).await.expect("not ready");
    assert!(down.elapsed() < Duration::from_millis(5_000));
    tokio::time::sleep(Duration::from_millis(5_000).saturating_sub(down.elapsed())).await;
    let answer = site
        .call(0, &SiteCall::issue("late"))
        .await
        .expect("an answer");
    assert_eq!((answer.status, site.runs("late")), (503, 0));
    assert!(answer.headers.contains_key("retry-after"));
    // The key was taken away meanwhile: it does not work when the store is back.
    site.accept_keys(&[]);
    site.store.set_down(false);
    site.wait_ready(0, true).await.expect("ready");
    assert_eq!(
        site.call(0, &SiteCall::issue("gone"))
            .await
            .expect("an answer")
            .status,
        401
    );
    site.accept_keys(&[KEY]);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(
        site.call(0, &SiteCall::issue("back"))
            .await
            .expect("an answer")
            .status,
        200
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_is_back_for_a_second_between_two_outages_lets_keys_work_again() {
    let site = site("gateway-back", 1).await;
    for round in 0..3 {
        site.store.set_down(true);
        site.wait_ready(0, false).await.expect("not ready");
        // Nothing has changed meanwhile, so that no watch has anything to tell.
        site.store.set_down(false);
        tokio::time::sleep(Duration::from_secs(1)).await;
        let call = SiteCall::issue(&format!("back-{round}"));
        let answer = site.call(0, &call).await.expect("an answer");
        assert_eq!(answer.status, 200, "round {round}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_ends_what_it_has_taken_and_refuses_the_rest() {
    let mut site = site("gateway-stop", 2).await;
    let response = site
        .open(0, &SiteCall::stream("s1", 300))
        .await
        .expect("a stream");
    site.gateways[0].process.signal("TERM").expect("a signal");
    site.wait_ready(0, false).await.expect("not ready");
    let late = site
        .call(0, &SiteCall::issue("c1"))
        .await
        .expect("an answer");
    assert_eq!(late.status, 200, "callers may still come for a while");
    assert_eq!(late.headers["connection"], "close");
    let answer = read_answer(response).await.expect("a whole stream");
    assert_eq!(answer.event_ids(), ids(300));
    let code = site.gateways[0]
        .process
        .wait(Duration::from_secs(9))
        .expect("an end");
    assert_eq!(code, 0, "nothing was cut");
    assert_eq!(
        site.call(1, &SiteCall::issue("c2"))
            .await
            .expect("an answer")
            .status,
        200
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn work_ends_soon_after_its_caller_has_left() {
    let site = site("gateway-left", 1).await;
    let mut response = site
        .open(0, &SiteCall::stream("s1", 600))
        .await
        .expect("a stream");
    response
        .body_mut()
        .frame()
        .await
        .expect("an event")
        .expect("an event");
    assert!(!site.replicas.chain("s1").is_empty());
    drop(response);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(
        site.replicas.chain("s1").is_empty(),
        "a replica is still at work"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_card_is_loaded_again_and_a_killed_holder_of_the_duty_is_followed() {
    let mut site = site("gateway-duty", 2).await;
    // Whoever holds the duty: kill one gateway, then lose a card.
    site.gateways[0].process.kill().expect("killed");
    let lost = site.models[0];
    let held = site.replicas.state(lost).layers;
    assert_ne!(held, (0, 0));
    site.replicas.change(lost, |state| {
        state.born = 2;
        state.sequence = 0;
        state.fence = 0;
        state.layers = (0, 0);
    });
    let began = Instant::now();
    while site.replicas.state(lost).layers != held {
        assert!(
            began.elapsed() < Duration::from_secs(12),
            "not loaded again"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let answer = site
        .call(1, &SiteCall::stream("s1", 10))
        .await
        .expect("a whole stream");
    assert_eq!(answer.event_ids(), ids(10));
}
