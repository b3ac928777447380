//! What went wrong for operators of similar systems, played at the sockets of gateway processes:
//! answers that come twice, planned stops under load, streams that are slow or stalled, processes
//! that are paused, and replicas that are only slow to report.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use standins::raw::{RawBehaviour, RawReplica};
use standins::site::{SiteRequest, TestSite, API_KEY};

/// Longest pause between two events that callers accept before they give up on a stream.
const MAX_CALLER_WAIT: Duration = Duration::from_secs(2);

/// Number of layers that the first stage of each chain holds.
const FIRST_LAYERS: u64 = 3;

async fn start_site(name: &str) -> TestSite {
    let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    TestSite::start(logs, 1)
        .await
        .expect("the site should start")
}

/// Takes all replicas of one service but the raw one out of the registry and waits until the
/// gateway has seen it.
async fn leave_only_raw(site: &TestSite, addresses: &[SocketAddr]) {
    for address in addresses {
        let id = site.replicas.state(*address).id;
        site.replicas.change(*address, |state| state.dead = true);
        tokio::time::sleep(Duration::from_millis(400)).await;
        site.store.remove(&format!("servers/{id}"));
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
}

/// A replica's second copy of an answer never becomes the answer to the next request on its
/// connection.
#[tokio::test(flavor = "multi_thread")]
async fn second_copy_of_an_answer_reaches_no_other_caller() {
    struct Case {
        name: &'static str,
        with_id: bool,
        delay_ms: u64,
        split: bool,
    }
    let cases = [
        Case {
            name: "at once",
            with_id: true,
            delay_ms: 0,
            split: false,
        },
        Case {
            name: "while the connection is idle",
            with_id: true,
            delay_ms: 5,
            split: false,
        },
        Case {
            name: "in the midst of the next request",
            with_id: true,
            delay_ms: 25,
            split: false,
        },
        Case {
            name: "split over two packets",
            with_id: true,
            delay_ms: 10,
            split: true,
        },
        Case {
            name: "without ids",
            with_id: false,
            delay_ms: 5,
            split: true,
        },
    ];
    let site = start_site("misbehaviour-twice").await;
    let raw_case = |case: &Case| RawBehaviour::AnswersTwice {
        with_id: case.with_id,
        delay_ms: case.delay_ms,
        split: case.split,
    };
    leave_only_raw(&site, &site.plain_addresses).await;
    for (number, case) in cases.iter().enumerate() {
        let raw = RawReplica::start(raw_case(case), Some(0))
            .await
            .expect("the replica should start");
        raw.register(&site.store, &site.replicas, 0);
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let mut whole = 0;
        for round in 0..40 {
            let id = format!("{number}-{round}");
            let request = match round % 2 {
                0 => SiteRequest::issue(&id),
                _ => SiteRequest::lookup(&id),
            };
            // Some callers leave before the answer, whose late copy then lies on the connection.
            if round % 5 == 4 {
                let left = site.fetch(0, &request);
                let _ = tokio::time::timeout(Duration::from_millis(2), left).await;
                continue;
            }
            let answer = site
                .fetch(0, &request)
                .await
                .expect("the gateway should respond");
            match answer.status {
                200 => {
                    assert_eq!(answer.body, format!("body of {id}"), "{}", case.name);
                    whole += 1;
                }
                status => assert_eq!(status, 502, "{}: {id}", case.name),
            }
            tokio::time::sleep(Duration::from_millis(round % 4 * 6)).await;
        }
        // Without ids no answer can be told from a copy.
        assert_eq!(whole > 0, case.with_id, "{}: {whole} answers", case.name);
        let received = raw.received();
        for id in received.iter().filter(|id| !id.is_empty()) {
            let times = received.iter().filter(|other| *other == id).count();
            let round: u32 = id.split('-').nth(1).unwrap().parse().unwrap();
            assert!(
                times == 1 || round % 2 == 1,
                "{}: {id} was sent {times} times",
                case.name
            );
        }
    }
}

/// A replica refuses a request, and writes the refusal once more when the request comes again on a
/// kept connection, and runs it.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_written_again_on_a_kept_connection_is_not_told_of_a_request_that_runs() {
    let site = start_site("misbehaviour-refused").await;
    leave_only_raw(&site, &site.plain_addresses).await;
    let raw = RawReplica::start(RawBehaviour::RefusesAgain, Some(0))
        .await
        .expect("the replica should start");
    raw.register(&site.store, &site.replicas, 0);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let mut came_again = 0;
    for number in 0..40 {
        // These leave connections that are used before.
        let sound = (0..3).map(|other| {
            let request = SiteRequest::issue(&format!("sound-{number}-{other}"));
            let site = &site;
            async move { site.fetch(0, &request).await }
        });
        join_all(sound).await;
        let id = format!("refused-{number}");
        let request = match number % 2 {
            0 => SiteRequest::issue(&id),
            _ => SiteRequest::lookup(&id),
        };
        let answer = site.fetch(0, &request).await;
        let answer = answer.expect("the gateway should respond");
        let received = raw.received();
        let arrivals = received.iter().filter(|other| **other == id).count();
        // It runs whenever it comes again.
        let expected = if arrivals > 1 { 200 } else { 503 };
        assert_eq!(answer.status, expected, "{id} came {arrivals} times");
        assert!(arrivals <= 2, "{id} came {arrivals} times");
        came_again += u32::from(arrivals > 1);
    }
    assert!(came_again > 0, "no refused request was sent again");
}

/// An order is not answered by what is left of an earlier exchange.
#[tokio::test(flavor = "multi_thread")]
async fn orders_are_sent_on_connections_of_their_own() {
    let site = start_site("misbehaviour-orders").await;
    let raw = RawReplica::start(RawBehaviour::Streams { interval_ms: 10 }, Some(0))
        .await
        .expect("the replica should start");
    site.replicas
        .change(site.model_addresses[0], |state| state.dead = true);
    let id = site.replicas.state(site.model_addresses[0]).id;
    tokio::time::sleep(Duration::from_millis(400)).await;
    site.store.remove(&format!("servers/{id}"));
    raw.register_empty(&site.store);
    // Reports are asked for on connections that are kept.
    let began = Instant::now();
    while raw.orders() < 2 && began.elapsed() < Duration::from_secs(20) {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(raw.orders() > 0, "no orders");
    assert_eq!(raw.orders_on_kept(), 0, "of {} orders", raw.orders());
}

/// Bytes of an event that never ends are no progress: the stalled stream is resumed elsewhere
/// before its caller gives up.
#[tokio::test(flavor = "multi_thread")]
async fn trickling_stream_of_a_dead_replica_is_resumed_elsewhere() {
    let site = start_site("misbehaviour-trickle").await;
    let raw = RawReplica::start(RawBehaviour::Trickles, None)
        .await
        .expect("the replica should start");
    raw.register(&site.store, &site.replicas, FIRST_LAYERS);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let mut resumed = 0;
    for number in 0..40 {
        let request = SiteRequest::stream(&format!("s{number}"), 30);
        let answer = site
            .fetch(0, &request)
            .await
            .expect("the stream should complete");
        assert_eq!(answer.event_ids(), (1..=30).collect::<Vec<u64>>());
        assert!(
            answer.longest_pause < MAX_CALLER_WAIT,
            "paused for {:?}",
            answer.longest_pause
        );
        resumed += u32::from(raw.received().contains(&request.id));
        if resumed >= 2 {
            return;
        }
    }
    panic!("no stream was sent to the replica that trickles");
}

/// A stream with neither a length nor chunks is whole if its connection ends after an event. One
/// that ends inside an event, or before the first one, goes on elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn stream_that_ends_with_its_connection_is_whole_only_after_its_events() {
    struct Case {
        name: &'static str,
        events: u64,
        is_cut: bool,
    }
    let cases = [
        Case {
            name: "open-whole",
            events: 30,
            is_cut: false,
        },
        Case {
            name: "open-cut",
            events: 5,
            is_cut: true,
        },
        Case {
            name: "open-cut-first",
            events: 0,
            is_cut: true,
        },
        Case {
            name: "open-empty",
            events: 0,
            is_cut: false,
        },
    ];
    for case in cases {
        let site = start_site(&format!("misbehaviour-{}", case.name)).await;
        let streams = RawBehaviour::StreamsUntilClose {
            events: case.events,
            is_cut: case.is_cut,
        };
        let raw = RawReplica::start(streams, Some(0))
            .await
            .expect("the replica should start");
        raw.register(&site.store, &site.replicas, FIRST_LAYERS);
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let mut through_raw = 0;
        for number in 0..40 {
            let request = SiteRequest::stream(&format!("s{number}"), 30);
            let answer = site.fetch(0, &request).await.expect(case.name);
            let ids: Vec<u64> = (1..=30).collect();
            assert_eq!(answer.event_ids(), ids, "{}", case.name);
            through_raw += u32::from(raw.received().contains(&request.id));
            if through_raw >= 2 {
                break;
            }
        }
        assert!(through_raw > 0, "{}: no stream came to it", case.name);
    }
}

/// An answer with neither a length nor chunks is whole if its connection is closed, and not if it is
/// reset.
#[tokio::test(flavor = "multi_thread")]
async fn answer_that_ends_with_its_connection_is_not_whole_after_a_reset() {
    for is_reset in [false, true] {
        let site = start_site(&format!("misbehaviour-open-answer-{is_reset}")).await;
        leave_only_raw(&site, &site.plain_addresses).await;
        let answers = RawBehaviour::AnswersUntilClose { is_reset };
        let raw = RawReplica::start(answers, Some(0))
            .await
            .expect("the replica should start");
        raw.register(&site.store, &site.replicas, 0);
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        for number in 0..6 {
            let id = format!("{number}");
            let request = match number % 2 {
                0 => SiteRequest::issue(&id),
                _ => SiteRequest::lookup(&id),
            };
            let answer = site
                .fetch(0, &request)
                .await
                .expect("the gateway should respond");
            let whole = (200, format!("body of {id}"));
            match is_reset {
                false => assert_eq!((answer.status, answer.body), whole),
                true => assert_eq!(answer.status, 502, "{id}"),
            }
        }
    }
}

/// Sends streams until one goes to a replica that sends an event each `interval_ms` milliseconds and
/// is slow to report: it is neither started elsewhere nor given up.
async fn assert_slow_stream_is_left_alone(name: &str, interval_ms: u64, event_count: u64) {
    let site = start_site(name).await;
    let streams = RawBehaviour::Streams { interval_ms };
    let raw = RawReplica::start(streams, Some(320))
        .await
        .expect("the replica should start");
    raw.register(&site.store, &site.replicas, FIRST_LAYERS);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for number in 0..40 {
        let request = SiteRequest::stream(&format!("s{number}"), event_count);
        let answer = site
            .fetch(0, &request)
            .await
            .expect("the stream should complete");
        assert_eq!(answer.event_ids(), (1..=event_count).collect::<Vec<u64>>());
        if raw.received().contains(&request.id) {
            assert_eq!(
                (raw.received().len(), site.run_count(&request.id)),
                (1, 0),
                "a sound stream was started again"
            );
            return;
        }
    }
    panic!("no stream was sent to the slow replica");
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_stream_of_a_replica_that_is_slow_to_report_is_left_alone() {
    assert_slow_stream_is_left_alone("misbehaviour-slow", 450, 12).await;
}

/// Each event comes while the second query since the one before it is awaited.
#[tokio::test(flavor = "multi_thread")]
async fn stream_whose_event_comes_during_a_query_is_not_given_up() {
    assert_slow_stream_is_left_alone("misbehaviour-unread", 700, 10).await;
}

/// Sends a request on a new connection. Returns whether it was answered, `None` if the connection
/// was refused.
fn ask_once(address: SocketAddr, id: &str) -> Option<bool> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_secs(3)))
        .expect("the read timeout should be set");
    let request = format!(
        "POST /lookup/x HTTP/1.1\r\nhost: site.example\r\nx-attempt-id: {id}\r\n\
         x-api-key: {API_KEY}\r\nx-deadline-ms: 3000\r\ncontent-length: 4\r\n\r\nbody"
    );
    // A caller whose request cannot be written knows that it was not read.
    stream.write_all(request.as_bytes()).ok()?;
    let mut head = [0; 12];
    Some(stream.read_exact(&mut head).is_ok() && head.starts_with(b"HTTP/1.1 "))
}

/// Callers connect all the while a gateway is stopped: each request on a connection that was
/// accepted is answered, if only by a refusal.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_answers_requests_on_all_connections_it_accepted() {
    let mut site = start_site("misbehaviour-stop").await;
    let address = site.gateways[0].process.http_address;
    let began = Instant::now();
    let callers: Vec<_> = (0..6)
        .map(|caller| {
            std::thread::spawn(move || {
                let (mut answered, mut unanswered) = (0, Vec::new());
                for round in 0.. {
                    if began.elapsed() > Duration::from_secs(5) {
                        break;
                    }
                    match ask_once(address, &format!("{caller}-{round}")) {
                        Some(true) => answered += 1,
                        Some(false) => unanswered.push(began.elapsed()),
                        None => std::thread::sleep(Duration::from_millis(1)),
                    }
                }
                (answered, unanswered)
            })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.gateways[0]
        .process
        .signal("TERM")
        .expect("the signal should be sent");
    let code = site.gateways[0]
        .process
        .wait_for_exit(Duration::from_secs(9))
        .expect("the gateway should exit");
    assert_eq!(code, 0);
    for caller in callers {
        let (answered, unanswered) = caller.join().expect("the caller should not panic");
        assert!(answered > 50, "{answered} answers");
        assert!(unanswered.is_empty(), "unanswered at {unanswered:?}");
    }
}

/// A gateway that was paused for longer than its proof is valid serves no key with it, neither for
/// requests that waited meanwhile nor for those that come first.
#[tokio::test(flavor = "multi_thread")]
async fn paused_gateway_serves_no_key_that_was_revoked_meanwhile() {
    let mut site = start_site("misbehaviour-pause").await;
    let address = site.gateways[0].process.http_address;
    assert_eq!(ask_once(address, "before"), Some(true));
    site.gateways[0]
        .process
        .signal("STOP")
        .expect("the signal should be sent");
    tokio::time::sleep(Duration::from_millis(200)).await;
    // The gateway cannot learn of it when it goes on.
    site.set_api_keys(&[]);
    site.store.set_outage(true);
    tokio::time::sleep(Duration::from_millis(5_200)).await;
    let waiting: Vec<_> = (0..8)
        .map(|number| std::thread::spawn(move || ask_once(address, &format!("during-{number}"))))
        .collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.gateways[0]
        .process
        .signal("CONT")
        .expect("the signal should be sent");
    for caller in waiting {
        let answered = caller.join().expect("the caller should not panic");
        assert_eq!(answered, Some(true));
    }
    for number in 0..8 {
        let id = format!("during-{number}");
        assert_eq!(site.run_count(&id), 0, "{id} ran with a revoked key");
    }
}
