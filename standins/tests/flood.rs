//! Replicas that send bytes without an end in place of answers: the gateway stays within its
//! memory, closes their connections, and serves the callers beside.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use standins::raw::{Flood, RawBehaviour, RawReplica};
use standins::site::{SiteRequest, TestSite};

/// Memory of the smallest VM of the users' sites, KiB.
const VM_MEMORY_KIB: u64 = 260 * 1024;
/// Requests at the same time.
const CALLERS: usize = 120;
/// Streams at the same time, for which the chains have room.
const STREAMS: usize = 40;
/// Time within which a lookup is answered although its first attempt meets a flood: a fraction of
/// the 10 s of its route, since what can be served elsewhere must not wait for that.
const LOOKUP_LIMIT: Duration = Duration::from_secs(5);
/// Longest pause between two events that callers accept.
const MAX_CALLER_WAIT: Duration = Duration::from_secs(2);
/// Layers that the first stage of each chain holds.
const FIRST_LAYERS: u64 = 3;

async fn start_site(name: &str) -> TestSite {
    let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    TestSite::start(logs, 1)
        .await
        .expect("the site should start")
}

/// Largest resident memory of the gateway so far, KiB.
fn peak_memory_kib(site: &TestSite) -> u64 {
    let path = format!("/proc/{}/status", site.gateways[0].process.id());
    let status = std::fs::read_to_string(path).expect("the gateway should run");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number
        .and_then(|text| text.parse().ok())
        .expect("VmHWM in kB")
}

/// Checks that the gateway stayed within the VM's memory and has closed all connections that are
/// flooded.
async fn check_left_sound(name: &str, site: &TestSite, raw: &RawReplica) {
    let began = Instant::now();
    while raw.floods() > 0 {
        assert!(
            began.elapsed() < Duration::from_secs(5),
            "{name}: {} floods go on",
            raw.floods()
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let peak = peak_memory_kib(site);
    assert!(peak < VM_MEMORY_KIB, "{name}: {peak} KiB");
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_answers_exhaust_neither_memory_nor_callers_beside() {
    let floods = [
        Flood::HeaderLine,
        Flood::Headers,
        Flood::InformationalHeads,
        Flood::Body,
        Flood::ChunkedBody,
        Flood::ChunkExtension,
    ];
    for flood in floods {
        let name = format!("flood-answer-{flood:?}");
        let site = start_site(&name).await;
        let raw = RawReplica::start(RawBehaviour::Floods(flood), Some(0))
            .await
            .expect("the replica should start");
        raw.register(&site.store, &site.replicas, 0);
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let lookups = (0..CALLERS).map(|number| {
            let request = SiteRequest::lookup(&format!("l{number}"));
            let site = &site;
            async move {
                let began = Instant::now();
                let answer = site.fetch(0, &request).await;
                let status = answer.expect("the gateway should respond").status;
                (request.id, status, began.elapsed())
            }
        });
        let streams = (0..20).map(|number| {
            let request = SiteRequest::stream(&format!("s{number}"), 60);
            let site = &site;
            async move { site.fetch(0, &request).await }
        });
        let (lookups, streams) = tokio::join!(join_all(lookups), join_all(streams));
        let met = raw.received();
        assert!(!met.is_empty(), "{name}: no request met the flood");
        for (id, status, took) in lookups {
            // The budget of retries may be used up.
            let allowed = if met.contains(&id) {
                [200, 502]
            } else {
                [200; 2]
            };
            assert!(allowed.contains(&status), "{name}: {id} got {status}");
            assert!(took < LOOKUP_LIMIT, "{name}: {id} took {took:?}");
        }
        for stream in streams {
            let stream = stream.expect("the stream should complete");
            assert_eq!(stream.event_ids(), (1..=60).collect::<Vec<u64>>());
            assert!(stream.longest_pause < MAX_CALLER_WAIT, "{name}");
        }
        check_left_sound(&name, &site, &raw).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_streams_exhaust_neither_memory_nor_callers_beside() {
    for flood in [
        Flood::Event,
        Flood::Comments,
        Flood::HeaderLine,
        Flood::InformationalHeads,
    ] {
        let name = format!("flood-stream-{flood:?}");
        let site = start_site(&name).await;
        let raw = RawReplica::start(RawBehaviour::Floods(flood), Some(0))
            .await
            .expect("the replica should start");
        raw.register(&site.store, &site.replicas, FIRST_LAYERS);
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let streams = (0..STREAMS).map(|number| {
            let request = SiteRequest::stream(&format!("s{number}"), 30);
            let site = &site;
            async move { site.fetch(0, &request).await }
        });
        let streams = join_all(streams).await;
        let met = raw.received();
        assert!(!met.is_empty(), "{name}: no request met the flood");
        for (number, stream) in streams.iter().enumerate() {
            let ids = (1..=30).collect::<Vec<u64>>();
            let whole = matches!(stream, Ok(stream) if stream.event_ids() == ids);
            let id = format!("s{number}");
            // The budget of retries may be used up.
            assert!(whole || met.contains(&id), "{name}: {id} got {stream:?}");
            let complete = matches!(stream, Ok(stream) if stream.status == 200);
            assert!(whole || !complete, "{name}: {id} looks complete");
        }
        check_left_sound(&name, &site, &raw).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_answers_to_orders_exhaust_neither_memory_nor_callers_beside() {
    for flood in [Flood::HeaderLine, Flood::InformationalHeads, Flood::Body] {
        let name = format!("flood-order-{flood:?}");
        let site = start_site(&name).await;
        let streams = RawBehaviour::Streams { interval_ms: 10 };
        let raw = RawReplica::start_flooding_queries(streams, flood)
            .await
            .expect("the replica should start");
        raw.register_empty(&site.store);
        let began = Instant::now();
        for number in 0.. {
            let request = SiteRequest::stream(&format!("s{number}"), 30);
            let stream = site.fetch(0, &request).await;
            let stream = stream.expect("the stream should complete");
            assert_eq!(stream.event_ids(), (1..=30).collect::<Vec<u64>>(), "{name}");
            if raw.queries() >= 4 {
                break;
            }
            assert!(
                began.elapsed() < Duration::from_secs(20),
                "{name}: {} queries and orders",
                raw.queries()
            );
        }
        check_left_sound(&name, &site, &raw).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_reports_exhaust_neither_memory_nor_callers_beside() {
    for flood in [
        Flood::HeaderLine,
        Flood::InformationalHeads,
        Flood::Body,
        Flood::ChunkedBody,
    ] {
        let name = format!("flood-query-{flood:?}");
        let site = start_site(&name).await;
        // Its streams pause for long enough that reports are asked for.
        let streams = RawBehaviour::Streams { interval_ms: 700 };
        let raw = RawReplica::start_flooding_queries(streams, flood)
            .await
            .expect("the replica should start");
        raw.register(&site.store, &site.replicas, FIRST_LAYERS);
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let streams = (0..STREAMS).map(|number| {
            let request = SiteRequest::stream(&format!("s{number}"), 5);
            let site = &site;
            async move { site.fetch(0, &request).await }
        });
        let streams = join_all(streams).await;
        assert!(raw.queries() > 0, "{name}: no report was asked for");
        for stream in streams {
            let stream = stream.expect("the stream should complete");
            assert_eq!(stream.event_ids(), (1..=5).collect::<Vec<u64>>(), "{name}");
        }
        check_left_sound(&name, &site, &raw).await;
    }
}
