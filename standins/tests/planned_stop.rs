//! What callers get whose requests outlast a planned stop of a gateway.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use futures_util::future::join_all;
use standins::raw::{RawBehaviour, RawReplica};
use standins::site::{TestSite, API_KEY};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Time from the signal until the platform kills the process.
const GRACE: Duration = Duration::from_secs(8);
/// Exit code of a stop that requests outlast.
const CUT_SHORT: i32 = 3;
/// Number of layers that the first stage of each chain holds.
const FIRST_LAYERS: u64 = 3;

async fn start_site(name: &str) -> TestSite {
    let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    TestSite::start(logs, 1)
        .await
        .expect("the site should start")
}

/// Takes the replicas of the plain service out of the registry.
async fn remove_plain_replicas(site: &TestSite) {
    for address in &site.plain_addresses {
        let id = site.replicas.state(*address).id;
        site.replicas.change(*address, |state| state.dead = true);
        tokio::time::sleep(Duration::from_millis(400)).await;
        site.store.remove(&format!("servers/{id}"));
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
}

/// Starts a site whose plain service has one replica, which answers after `delay_ms`.
async fn start_slow_site(name: &str, delay_ms: u64) -> (TestSite, RawReplica) {
    let site = start_site(name).await;
    let raw = RawReplica::start(RawBehaviour::AnswersAfter { delay_ms }, Some(0))
        .await
        .expect("the replica should start");
    raw.register(&site.store, &site.replicas, 0);
    remove_plain_replicas(&site).await;
    (site, raw)
}

fn head(id: &str, path: &str, events: u64, body_len: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: site.example\r\nx-attempt-id: {id}\r\n\
         x-api-key: {API_KEY}\r\nx-deadline-ms: 20000\r\nx-token-count: 20,{events}\r\n\
         content-length: {body_len}\r\n\r\n"
    )
}

/// What a caller received until its connection ended.
#[derive(Clone, Debug)]
struct Received {
    id: String,
    /// When the request was sent, since the signal, in milliseconds.
    sent_ms: u64,
    text: String,
}

impl Received {
    fn status(&self) -> u16 {
        let status = self.text.get(9..12).and_then(|text| text.parse().ok());
        status.unwrap_or(0)
    }

    /// Whether the answer ends as its head says.
    fn is_whole(&self) -> bool {
        let Some((head, body)) = self.text.split_once("\r\n\r\n") else {
            return false;
        };
        let head = head.to_ascii_lowercase();
        let mut lines = head.lines();
        match lines.find_map(|line| line.strip_prefix("content-length: ")) {
            Some(len) => len.parse() == Ok(body.len()),
            None => body.ends_with("0\r\n\r\n"),
        }
    }

    fn event_ids(&self) -> Vec<u64> {
        let lines = self.text.lines();
        let ids = lines.filter_map(|line| line.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).collect()
    }
}

async fn read_to_end(mut stream: TcpStream, id: String, sent_ms: u64) -> Received {
    let mut bytes = Vec::new();
    // A reset ends the connection as a close does.
    let _ = stream.read_to_end(&mut bytes).await;
    Received {
        id,
        sent_ms,
        text: String::from_utf8_lossy(&bytes).into_owned(),
    }
}

/// Sends a request on a new connection.
async fn ask(address: SocketAddr, path: &str, id: &str, events: u64, sent_ms: u64) -> Received {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the gateway listens");
    let request = format!("{}x", head(id, path, events, 1));
    let sent = stream.write_all(request.as_bytes()).await;
    sent.expect("the gateway should read the request");
    read_to_end(stream, id.to_owned(), sent_ms).await
}

/// Opens a connection and keeps it open after a first request on it.
async fn open_kept(address: SocketAddr) -> TcpStream {
    // A gateway closes connections while it cannot show that its configuration is the newest.
    for _ in 0..100 {
        let mut stream = TcpStream::connect(address)
            .await
            .expect("the gateway listens");
        let first = head("unrouted", "/nowhere/x", 0, 0);
        let sent = stream.write_all(first.as_bytes()).await;
        sent.expect("the gateway should read the request");
        let mut buffer = [0; 4_096];
        let count = stream.read(&mut buffer).await.expect("an answer");
        let answer = String::from_utf8_lossy(&buffer[..count]);
        assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
        if !answer.contains("connection: close") {
            return stream;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the gateway keeps no connection open");
}

/// Sends a request on a connection.
async fn ask_on(mut stream: TcpStream, path: &str, id: &str, sent_ms: u64) -> Received {
    let request = format!("{}x", head(id, path, 0, 1));
    let sent = stream.write_all(request.as_bytes()).await;
    sent.expect("the gateway should read the request");
    read_to_end(stream, id.to_owned(), sent_ms).await
}

fn signal(site: &TestSite) {
    site.gateways[0]
        .process
        .signal("TERM")
        .expect("the signal should be sent");
}

/// Checks that each caller got a whole answer, and that no request ran whose answer says that it
/// did not.
fn check_answers(answers: &[Received], raw: &RawReplica) {
    let unanswered: Vec<_> = answers
        .iter()
        .filter(|answer| !answer.is_whole())
        .map(|answer| (&answer.id, answer.sent_ms, &answer.text))
        .collect();
    assert!(
        unanswered.is_empty(),
        "{} of {} requests have no answer (id, sent ms after the signal, received): {unanswered:?}",
        unanswered.len(),
        answers.len()
    );
    let ran = raw.received();
    for answer in answers {
        let status = answer.status();
        assert!(matches!(status, 200 | 503 | 504), "{answer:?}");
        assert!(status != 503 || !ran.contains(&answer.id), "{answer:?} ran");
    }
}

/// Sends requests through a whole stop at a replica that needs `delay_ms`, on new and kept
/// connections.
async fn check_requests_through_a_stop(name: &str, delay_ms: u64) {
    let (mut site, raw) = start_slow_site(name, delay_ms).await;
    let address = site.gateways[0].process.http_address;
    let mut callers: Vec<JoinHandle<Received>> = Vec::new();
    for number in 0..4_u64 {
        let stream = open_kept(address).await;
        let path = ["/issue/x", "/lookup/x"][usize::from(number % 2 == 1)];
        callers.push(tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(500 * number)).await;
            ask_on(stream, path, &format!("k{number}"), 500 * number).await
        }));
    }
    // A body that never ends.
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the gateway listens");
    let part = format!("{}half", head("half", "/issue/x", 0, 8));
    let sent = stream.write_all(part.as_bytes()).await;
    sent.expect("the gateway should read the request");
    callers.push(tokio::spawn(read_to_end(stream, String::from("half"), 0)));
    tokio::time::sleep(Duration::from_millis(100)).await;
    signal(&site);
    for number in 0..12_u64 {
        let path = ["/issue/x", "/lookup/x"][usize::from(number % 2 == 1)];
        callers.push(tokio::spawn(async move {
            ask(address, path, &format!("n{number}"), 0, 200 * number).await
        }));
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let code = site.gateways[0].process.wait_for_exit(GRACE);
    assert_eq!(code.expect("it should exit before it is killed"), CUT_SHORT);
    let answers = join_all(callers).await;
    let answers: Vec<_> = answers.into_iter().flatten().collect();
    check_answers(&answers, &raw);
    let half = answers.iter().find(|answer| answer.id == "half");
    assert_eq!(half.map(Received::status), Some(503), "body half sent");
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_sent_late_in_a_planned_stop_are_not_closed_unanswered() {
    check_requests_through_a_stop("stop-late", 6_500).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_outlast_a_planned_stop_are_not_closed_unanswered() {
    check_requests_through_a_stop("stop-outlasted", 20_000).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_that_outlast_a_planned_stop_are_refused_or_broken_off() {
    let mut site = start_site("stop-streams").await;
    let silent = RawBehaviour::Streams {
        interval_ms: 20_000,
    };
    let raw = RawReplica::start(silent, Some(0))
        .await
        .expect("the replica should start");
    raw.register(&site.store, &site.replicas, FIRST_LAYERS);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let address = site.gateways[0].process.http_address;
    let mut callers = Vec::new();
    for number in 0..24_u64 {
        callers.push(tokio::spawn(async move {
            ask(address, "/model/x", &format!("s{number}"), 5_000, 0).await
        }));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    signal(&site);
    let code = site.gateways[0].process.wait_for_exit(GRACE);
    assert_eq!(code.expect("it should exit before it is killed"), CUT_SHORT);
    let answers = join_all(callers).await;
    let answers: Vec<_> = answers.into_iter().flatten().collect();
    let unanswered: Vec<_> = answers
        .iter()
        .filter(|answer| answer.status() != 200)
        .filter(|answer| !(answer.is_whole() && answer.status() == 504))
        .collect();
    assert!(unanswered.is_empty(), "no answer: {unanswered:?}");
    let silent = answers.iter().filter(|answer| answer.status() == 504);
    assert!(
        silent.count() > 0,
        "no stream was sent to the silent replica"
    );
    let broken_off: Vec<_> = answers
        .iter()
        .filter(|answer| answer.status() == 200)
        .collect();
    assert!(!broken_off.is_empty(), "no stream was under way");
    for answer in broken_off {
        assert!(!answer.is_whole(), "{} looks complete", answer.id);
        let ids = answer.event_ids();
        let count = u64::try_from(ids.len()).expect("few events");
        assert_eq!(ids, (1..=count).collect::<Vec<u64>>(), "{}", answer.id);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_in_flight_at_a_second_signal_are_not_closed_unanswered() {
    let (mut site, raw) = start_slow_site("stop-second-signal", 6_500).await;
    let address = site.gateways[0].process.http_address;
    let mut callers = Vec::new();
    for number in 0..100_u64 {
        let path = ["/issue/x", "/lookup/x"][usize::from(number % 2 == 1)];
        callers.push(tokio::spawn(async move {
            ask(address, path, &format!("n{number}"), 0, 0).await
        }));
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    signal(&site);
    tokio::time::sleep(Duration::from_millis(100)).await;
    signal(&site);
    let exit = site.gateways[0].process.wait_for_exit(GRACE / 2);
    assert_eq!(exit.expect("it should not wait any longer"), CUT_SHORT);
    let answers = join_all(callers).await;
    let answers: Vec<_> = answers.into_iter().flatten().collect();
    check_answers(&answers, &raw);
    let sent = answers.iter().filter(|answer| answer.status() == 504);
    assert!(sent.count() > 0, "no request was in flight");
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_wait_for_room_at_a_second_signal_are_not_closed_unanswered() {
    let mut site = start_site("stop-waiting").await;
    remove_plain_replicas(&site).await;
    let address = site.gateways[0].process.http_address;
    signal(&site);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let mut callers = Vec::new();
    for number in 0..40_u64 {
        let path = ["/issue/x", "/lookup/x"][usize::from(number % 2 == 1)];
        callers.push(tokio::spawn(async move {
            ask(address, path, &format!("n{number}"), 0, 100).await
        }));
    }
    tokio::time::sleep(Duration::from_millis(30)).await;
    signal(&site);
    let exit = site.gateways[0].process.wait_for_exit(GRACE / 2);
    assert_eq!(exit.expect("it should not wait any longer"), CUT_SHORT);
    for answer in join_all(callers).await.into_iter().flatten() {
        assert!(answer.is_whole() && answer.status() == 503, "{answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn error_of_a_replica_is_delivered_when_its_retry_outlasts_a_stop() {
    let (mut site, slow) = start_slow_site("stop-error", 20_000).await;
    let error = "HTTP/1.1 500 Internal Server Error\r\nx-attempt-id: {id}\r\n\
        x-replica-stamp: stamp\r\ncontent-length: 6\r\n\r\nfailed";
    let failing = RawReplica::start(RawBehaviour::Writes(error), Some(0))
        .await
        .expect("the replica should start");
    failing.register_as("i-failing", &site.store, &site.replicas, 0);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let address = site.gateways[0].process.http_address;
    let mut callers = Vec::new();
    for number in 0..20_u64 {
        callers.push(tokio::spawn(async move {
            ask(address, "/lookup/x", &format!("n{number}"), 0, 0).await
        }));
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    signal(&site);
    tokio::time::sleep(Duration::from_millis(100)).await;
    signal(&site);
    let exit = site.gateways[0].process.wait_for_exit(GRACE / 2);
    assert_eq!(exit.expect("it should not wait any longer"), CUT_SHORT);
    let (failed, retried) = (failing.received(), slow.received());
    let mut delivered = 0;
    for answer in join_all(callers).await.into_iter().flatten() {
        assert!(answer.is_whole(), "{answer:?}");
        if failed.contains(&answer.id) && retried.contains(&answer.id) {
            assert_eq!(answer.status(), 500, "{answer:?}");
            delivered += 1;
        }
    }
    assert!(delivered > 0, "no request was sent to both replicas");
}
