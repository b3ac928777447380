//! A refusal reaches its caller also if it is written while the request's body is still coming.

use std::path::PathBuf;
use std::time::Duration;

use futures_util::future::{join_all, ready};
use futures_util::stream::{self, StreamExt};
use serde_json::json;
use standins::site::{TestSite, API_KEY};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Number of callers of each case.
const CALLERS: usize = 40;
/// Number of them that send at the same time.
const CALLERS_AT_ONCE: usize = 4;
/// Largest body that the configuration allows, bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Time within which a configuration is in force, milliseconds.
const CONFIG_MS: u64 = 2_000;
/// Time after which a caller gives up reading.
const READ_LIMIT: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunked,
}

#[derive(Clone, Copy, Debug)]
struct RefusedRequest {
    path: &'static str,
    key: &'static str,
    extra: &'static str,
    deadline_ms: u64,
    framing: Framing,
    body_bytes: usize,
}

impl RefusedRequest {
    const fn new(path: &'static str, key: &'static str, body_bytes: usize) -> RefusedRequest {
        RefusedRequest {
            path,
            key,
            extra: "",
            deadline_ms: 20_000,
            framing: Framing::Length,
            body_bytes,
        }
    }

    fn head(&self, id: &str) -> String {
        let framing = match self.framing {
            Framing::Length => format!("content-length: {}", self.body_bytes),
            Framing::Chunked => String::from("transfer-encoding: chunked"),
        };
        format!(
            "POST {} HTTP/1.1\r\nhost: site.example\r\nx-attempt-id: {id}\r\nx-api-key: {}\r\n\
             x-deadline-ms: {}\r\n{}{framing}\r\n\r\n",
            self.path, self.key, self.deadline_ms, self.extra
        )
    }

    fn body(&self) -> Vec<u8> {
        const CHUNK_BYTES: usize = 5_000;
        match self.framing {
            Framing::Length => vec![b'x'; self.body_bytes],
            Framing::Chunked => {
                let mut body = Vec::new();
                for chunk in vec![b'x'; self.body_bytes].chunks(CHUNK_BYTES) {
                    body.extend(format!("{:x}\r\n", chunk.len()).bytes());
                    body.extend(chunk);
                    body.extend(b"\r\n");
                }
                body.extend(b"0\r\n\r\n");
                body
            }
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct CallerAnswer {
    status: u16,
    closes: bool,
    body: Vec<u8>,
}

/// Reads one answer. Returns `None` if it does not come whole.
async fn read_answer(stream: &mut TcpStream) -> Option<CallerAnswer> {
    read_answers(stream, 1).await.pop()
}

/// Reads answers until there are `count`, or no more come. Returns those that came whole.
async fn read_answers(stream: &mut TcpStream, count: usize) -> Vec<CallerAnswer> {
    let mut received = Vec::new();
    let read = async {
        while split_answers(&received).len() < count {
            match stream.read_buf(&mut received).await {
                Ok(read) if read > 0 => {}
                _ => break,
            }
        }
    };
    let _ = tokio::time::timeout(READ_LIMIT, read).await;
    split_answers(&received)
}

fn split_answers(received: &[u8]) -> Vec<CallerAnswer> {
    let mut answers = Vec::new();
    let mut rest = received;
    while let Some((answer, len)) = parse_answer(rest) {
        rest = &rest[len..];
        // An interim answer only announces the final one.
        if answer.status != 100 {
            answers.push(answer);
        }
    }
    answers
}

/// Parses the first answer and returns it with its length, if it is whole.
fn parse_answer(received: &[u8]) -> Option<(CallerAnswer, usize)> {
    let head_len = received.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&received[..head_len]).to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let body_len: usize = length.map_or(Some(0), |length| length.parse().ok())?;
    let body = received.get(head_len..head_len + body_len)?;
    let answer = CallerAnswer {
        status: head.get(9..12)?.parse().ok()?,
        closes: head.contains("connection: close"),
        body: body.to_vec(),
    };
    Some((answer, head_len + body_len))
}

/// Sends a request and reads its answer. Returns `None` if the answer is lost.
async fn send(stream: &mut TcpStream, request: &RefusedRequest, id: &str) -> Option<CallerAnswer> {
    let mut message = request.head(id).into_bytes();
    message.extend(request.body());
    send_bytes(stream, &message).await?;
    let answer = read_answer(stream).await?;
    let is_safe = answer.status < 400 || !is_reset(stream).await;
    is_safe.then_some(answer)
}

/// Returns `None` if the connection fails: many callers then take the request for failed and read no
/// answer.
async fn send_bytes(stream: &mut TcpStream, bytes: &[u8]) -> Option<()> {
    stream.write_all(bytes).await.ok()
}

/// Whether the gateway resets the connection after its answer. On many systems, and where the answer
/// is still on its way, the reset discards it (RFC 9112, section 9.6).
async fn is_reset(stream: &TcpStream) -> bool {
    const RESET_WAIT: Duration = Duration::from_millis(20);
    tokio::time::sleep(RESET_WAIT).await;
    !matches!(stream.take_error(), Ok(None))
}

async fn connect(site: &TestSite) -> TcpStream {
    let address = site.gateways[0].process.http_address;
    let stream = TcpStream::connect(address).await;
    stream.expect("the gateway listens")
}

/// Opens a connection; if `is_kept`, one that has carried a request and is kept open after it.
async fn open(site: &TestSite, is_kept: bool, id: &str) -> TcpStream {
    loop {
        let mut stream = connect(site).await;
        if !is_kept {
            return stream;
        }
        let before = RefusedRequest::new("/lookup/x", API_KEY, 5);
        let answer = send(&mut stream, &before, &format!("{id}-before")).await;
        let answer = answer.expect("the first request should be answered");
        assert_eq!(answer.status, 200, "{id}");
        if !answer.closes {
            return stream;
        }
    }
}

/// Whether the gateway has closed a connection on which nothing is expected.
fn is_closed(stream: &TcpStream) -> bool {
    let read = stream.try_read(&mut [0]);
    !matches!(read, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
}

async fn start_site(name: &str) -> TestSite {
    start_site_with(name, MAX_BODY_BYTES, &[]).await
}

async fn start_site_with(
    name: &str,
    max_body_bytes: usize,
    settings: &[(&'static str, String)],
) -> TestSite {
    let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("refused-body-{name}"));
    let mut site = TestSite::start_with(logs, 1, settings)
        .await
        .expect("the site should start");
    site.set_limits(json!({"max_body_bytes": max_body_bytes, "max_header_bytes": 16_384}));
    tokio::time::sleep(Duration::from_millis(CONFIG_MS)).await;
    site
}

/// Lets each caller send its head, and once all have, a body in two halves with a pause between them.
/// Returns the status of each answer, `None` for one that is lost.
async fn send_in_halves(
    mut streams: Vec<TcpStream>,
    request: RefusedRequest,
    pause_ms: u64,
) -> Vec<Option<u16>> {
    for (number, stream) in streams.iter_mut().enumerate() {
        let head = request.head(&format!("halves-{number}"));
        let sent = send_bytes(stream, head.as_bytes()).await;
        sent.expect("the head should be sent");
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    let callers = streams.into_iter().map(|mut stream| async move {
        let body = request.body();
        let (first, rest) = body.split_at(body.len() / 2);
        send_bytes(&mut stream, first).await?;
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        send_bytes(&mut stream, rest).await?;
        let answer = read_answer(&mut stream).await?;
        (!is_reset(&stream).await).then_some(answer.status)
    });
    join_all(callers).await
}

/// Lets callers send a request that is refused, some of them at once. Returns how many of them get no
/// answer.
async fn count_lost(site: &TestSite, request: RefusedRequest, is_kept: bool, status: u16) -> usize {
    let callers = (0..CALLERS).map(|number| async move {
        let id = format!("{}-{is_kept}-{number}", request.body_bytes);
        let mut stream = open(site, is_kept, &id).await;
        let answer = send(&mut stream, &request, &id).await;
        if let Some(answer) = &answer {
            assert_eq!(answer.status, status, "{request:?}");
            assert!(!answer.body.is_empty(), "{request:?}");
        }
        answer.is_none()
    });
    let lost = stream::iter(callers).buffer_unordered(CALLERS_AT_ONCE);
    lost.filter(|is_lost| ready(*is_lost)).count().await
}

struct RefusalCase {
    name: &'static str,
    request: RefusedRequest,
    status: u16,
}

async fn check_cases(site: &TestSite, cases: &[RefusalCase]) {
    let mut lost = Vec::new();
    for case in cases {
        for is_kept in [false, true] {
            let count = count_lost(site, case.request, is_kept, case.status).await;
            if count > 0 {
                let bytes = case.request.body_bytes;
                lost.push(format!("{} {bytes} kept={is_kept}: {count}", case.name));
            }
        }
    }
    assert!(
        lost.is_empty(),
        "lost, of {CALLERS} callers each: {lost:#?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_at_the_head_reaches_callers_that_are_still_sending() {
    let site = start_site("head").await;
    let mut cases = Vec::new();
    for body_bytes in [
        8_000,
        20_000,
        60_000,
        150_000,
        600_000,
        900_000,
        MAX_BODY_BYTES,
    ] {
        let no_route = RefusedRequest::new("/none/x", API_KEY, body_bytes);
        cases.push(RefusalCase {
            name: "no route",
            request: no_route,
            status: 404,
        });
        cases.push(RefusalCase {
            name: "no route, chunked",
            request: RefusedRequest {
                framing: Framing::Chunked,
                ..no_route
            },
            status: 404,
        });
        cases.push(RefusalCase {
            name: "unknown key",
            request: RefusedRequest::new("/lookup/x", "nobody", body_bytes),
            status: 401,
        });
    }
    check_cases(&site, &cases).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_of_a_body_over_the_limit_reaches_callers_that_are_still_sending() {
    let site = start_site("over").await;
    let over = RefusedRequest::new("/lookup/x", API_KEY, MAX_BODY_BYTES / 2 * 3);
    let cases = [
        RefusalCase {
            name: "announced",
            request: over,
            status: 413,
        },
        RefusalCase {
            name: "sent",
            request: RefusedRequest {
                framing: Framing::Chunked,
                ..over
            },
            status: 413,
        },
    ];
    check_cases(&site, &cases).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_reaches_callers_that_expect_a_continue_but_send_at_once() {
    let site = start_site("expect").await;
    let cases = [60_000, 900_000].map(|body_bytes| RefusalCase {
        name: "expects a continue",
        request: RefusedRequest {
            extra: "expect: 100-continue\r\n",
            ..RefusedRequest::new("/none/x", API_KEY, body_bytes)
        },
        status: 404,
    });
    check_cases(&site, &cases).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn connection_is_not_read_on_as_a_body_that_a_refused_caller_never_sends() {
    let site = start_site("withheld").await;
    let request = RefusedRequest {
        extra: "expect: 100-continue\r\n",
        ..RefusedRequest::new("/none/x", API_KEY, 900)
    };
    let mut stream = open(&site, true, "withheld").await;
    let head = request.head("withheld");
    let sent = stream.write_all(head.as_bytes()).await;
    sent.expect("the head should be sent");
    let answer = read_answer(&mut stream).await.expect("a refusal");
    assert_eq!((answer.status, answer.closes), (404, true));
}

#[tokio::test(flavor = "multi_thread")]
async fn connection_serves_on_after_a_refused_body_of_legal_size() {
    let site = start_site("reuse").await;
    let refused = RefusedRequest::new("/none/x", API_KEY, 900_000);
    let next = RefusedRequest::new("/lookup/x", API_KEY, 700);
    let (mut kept, mut number) = (0, 0);
    let mut stream = connect(&site).await;
    while kept < 20 {
        number += 1;
        let id = format!("reuse-{number}");
        // The next request follows the body at once.
        let mut message = refused.head(&id).into_bytes();
        message.extend(refused.body());
        message.extend(next.head(&format!("{id}-next")).bytes());
        message.extend(next.body());
        let _ = send_bytes(&mut stream, &message).await;
        let answers = read_answers(&mut stream, 2).await;
        let refusal = answers.first().expect("the refusal should come");
        assert_eq!(refusal.status, 404, "{id}");
        // Each answer closes its connection while the configuration may be outdated.
        if refusal.closes || answers.get(1).is_some_and(|answer| answer.closes) {
            stream = connect(&site).await;
            continue;
        }
        let statuses: Vec<u16> = answers.iter().map(|answer| answer.status).collect();
        assert_eq!(statuses, [404, 200], "{id}");
        assert_eq!(answers[1].body.len(), 700, "{id}");
        kept += 1;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_of_a_body_without_a_length_says_that_its_connection_is_closed() {
    let site = start_site("no-length").await;
    for body_bytes in [100, 8_000, 900_000] {
        let request = RefusedRequest {
            framing: Framing::Chunked,
            ..RefusedRequest::new("/none/x", API_KEY, body_bytes)
        };
        let mut stream = open(&site, true, &format!("{body_bytes}")).await;
        let answer = send(&mut stream, &request, &format!("no-length-{body_bytes}")).await;
        let answer = answer.expect("a refusal");
        assert_eq!((answer.status, answer.closes), (404, true), "{body_bytes}");
        let end = tokio::time::timeout(READ_LIMIT, stream.read(&mut [0])).await;
        let read = end.expect("the connection should end");
        assert_eq!(read.ok(), Some(0), "{body_bytes}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_whose_key_is_taken_away_while_they_send_get_a_refusal() {
    let mut site = start_site("key").await;
    site.set_api_keys(&[API_KEY, "other"]);
    tokio::time::sleep(Duration::from_millis(CONFIG_MS)).await;
    let address = site.gateways[0].process.http_address;
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            tokio::spawn(async move {
                let request = RefusedRequest::new("/lookup/x", API_KEY, 150_000);
                let mut statuses = Vec::new();
                let mut stream = None;
                for round in 0..60 {
                    let kept = stream.take().filter(|open| !is_closed(open));
                    let mut open = match kept {
                        Some(open) => open,
                        None => TcpStream::connect(address).await.expect("a connection"),
                    };
                    let id = format!("key-{number}-{round}");
                    let answer = send(&mut open, &request, &id).await;
                    statuses.push(answer.as_ref().map(|answer| answer.status));
                    if answer.is_some_and(|answer| !answer.closes) {
                        stream = Some(open);
                    }
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
                statuses
            })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    site.set_api_keys(&["other"]);
    let statuses: Vec<_> = join_all(callers).await;
    let statuses: Vec<Option<u16>> = statuses
        .into_iter()
        .flat_map(|statuses| statuses.expect("the caller should end"))
        .collect();
    let count = |wanted: Option<u16>| statuses.iter().filter(|status| **status == wanted).count();
    let (served, refused, lost) = (count(Some(200)), count(Some(401)), count(None));
    assert_eq!(lost, 0, "{served} served, {refused} refused");
    assert!(
        served > 0 && refused > 0,
        "{served} served, {refused} refused"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_of_a_stopping_gateway_reaches_callers_that_are_still_sending() {
    /// Time from a planned stop at which new requests are refused, milliseconds.
    const CLOSING_MS: u64 = 2_500;
    let mut site = start_site("stop").await;
    site.gateways[0].process.signal("TERM").expect("a signal");
    tokio::time::sleep(Duration::from_millis(CLOSING_MS - 200)).await;
    let streams: Vec<TcpStream> = join_all((0..CALLERS).map(|_| connect(&site))).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    let request = RefusedRequest::new("/lookup/x", API_KEY, 900_000);
    // Past the end of a stop without requests.
    let statuses = send_in_halves(streams, request, 800).await;
    assert_eq!(statuses, vec![Some(503); CALLERS]);
    let code = site.gateways[0]
        .process
        .wait_for_exit(Duration::from_secs(10));
    assert_eq!(code.expect("the gateway should exit"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_of_a_body_that_comes_too_late_reaches_callers_that_are_still_sending() {
    let site = start_site("late").await;
    let request = RefusedRequest {
        deadline_ms: 300,
        ..RefusedRequest::new("/lookup/x", API_KEY, 900_000)
    };
    let streams = join_all((0..CALLERS).map(|_| connect(&site))).await;
    let statuses = send_in_halves(streams, request, 600).await;
    assert!(!statuses.contains(&None), "{statuses:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_of_a_body_without_room_reaches_callers_that_are_still_sending() {
    /// More of such bodies than the gateway has room for.
    const LARGE_BYTES: usize = 4 * 1024 * 1024;
    let settings = [("LYNXCART_MEMORY_MB", String::from("64"))];
    let site = start_site_with("room", LARGE_BYTES, &settings).await;
    let request = RefusedRequest::new("/lookup/x", API_KEY, LARGE_BYTES);
    let streams = join_all((0..CALLERS).map(|_| connect(&site))).await;
    let statuses = send_in_halves(streams, request, 500).await;
    assert!(!statuses.contains(&None), "{statuses:?}");
    assert!(statuses.contains(&Some(503)), "{statuses:?}");
}
