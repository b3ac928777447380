//! What holds for callers while a gateway stops or the configuration changes.

use std::path::PathBuf;
use std::time::Duration;

use serde_json::json;
use standins::site::{SiteRequest, TestSite, API_KEY};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// Time within which a configuration is in force, in milliseconds.
const CONFIG_MS: u64 = 2_000;

async fn start_site(name: &str) -> TestSite {
    let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    TestSite::start(logs, 1)
        .await
        .expect("the site should start")
}

fn lookup(id: &str, extra: &str, body: &str) -> String {
    format!(
        "POST /lookup/x HTTP/1.1\r\nhost: site.example\r\nx-attempt-id: {id}\r\n\
         x-api-key: {API_KEY}\r\nx-deadline-ms: 20000\r\n{extra}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads one response with a length. Returns its status and the bytes of its body that came.
async fn read_response(stream: &mut TcpStream) -> (u16, usize, usize) {
    let mut received = Vec::new();
    let mut buffer = vec![0; 64 * 1024];
    let (head_len, body_len) = loop {
        let text = String::from_utf8_lossy(&received).to_ascii_lowercase();
        if let Some(end) = text.find("\r\n\r\n") {
            let mut lengths = text[..end]
                .lines()
                .filter_map(|line| line.strip_prefix("content-length: "));
            let length = lengths.next().and_then(|length| length.parse().ok());
            break (end + 4, length.unwrap_or(0));
        }
        match stream.read(&mut buffer).await {
            Ok(count) if count > 0 => received.extend_from_slice(&buffer[..count]),
            _ => return (0, 0, 0),
        }
    };
    let status = String::from_utf8_lossy(&received[9..12]).parse();
    let mut read = received.len() - head_len;
    while read < body_len {
        match stream.read(&mut buffer).await {
            Ok(count) if count > 0 => read += count,
            _ => break,
        }
    }
    (status.unwrap_or(0), read, body_len)
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_that_is_still_being_written_is_whole_after_a_planned_stop() {
    /// Larger than what the kernel buffers for a connection.
    const ANSWER_BYTES: usize = 7 * 1024 * 1024;
    /// Size of the callers' receive buffers.
    const RECEIVE_BYTES: u32 = 32 * 1024;
    let mut site = start_site("stop-while-writing").await;
    site.set_limits(json!({"max_body_bytes": ANSWER_BYTES}));
    tokio::time::sleep(Duration::from_millis(CONFIG_MS)).await;
    let address = site.gateways[0].process.http_address;
    let mut callers = Vec::new();
    for number in 0..2 {
        let socket = TcpSocket::new_v4().expect("a socket should open");
        socket
            .set_recv_buffer_size(RECEIVE_BYTES)
            .expect("the buffer should be set");
        let mut stream = socket.connect(address).await.expect("the gateway listens");
        let id = format!("w{number}");
        let request = lookup(&id, "", &"x".repeat(ANSWER_BYTES));
        let sent = stream.write_all(request.as_bytes()).await;
        sent.expect("the gateway should read the request");
        while site.run_count(&id) == 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        callers.push(stream);
    }
    // The replica has answered.
    tokio::time::sleep(Duration::from_millis(500)).await;
    site.gateways[0].process.signal("TERM").expect("a signal");
    // Past the time that a stop leaves to new connections, within its bound of eight seconds.
    tokio::time::sleep(Duration::from_millis(4_500)).await;
    for (number, stream) in callers.iter_mut().enumerate() {
        let (status, read, length) = read_response(stream).await;
        assert_eq!((status, length), (200, ANSWER_BYTES), "caller {number}");
        assert_eq!(read, length, "caller {number}: the answer is cut");
    }
    let code = site.gateways[0]
        .process
        .wait_for_exit(Duration::from_secs(10));
    assert_eq!(code.expect("the gateway should exit"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn limit_on_heads_holds_on_kept_connections_as_the_newest_configuration_says() {
    struct LimitCase {
        max_header_bytes: usize,
        status: u16,
    }
    let cases = [
        LimitCase {
            max_header_bytes: 65_536,
            status: 200,
        },
        LimitCase {
            max_header_bytes: 16_384,
            status: 431,
        },
        LimitCase {
            max_header_bytes: 131_072,
            status: 200,
        },
    ];
    let mut site = start_site("header-limit").await;
    site.set_limits(json!({"max_header_bytes": 16_384}));
    tokio::time::sleep(Duration::from_millis(CONFIG_MS)).await;
    let address = site.gateways[0].process.http_address;
    let long = format!("x-long: {}\r\n", "x".repeat(20_000));
    for (number, case) in cases.iter().enumerate() {
        let mut stream = TcpStream::connect(address)
            .await
            .expect("the gateway listens");
        let before = lookup(&format!("b{number}"), "", "small");
        let sent = stream.write_all(before.as_bytes()).await;
        sent.expect("the request should be sent");
        assert_eq!(read_response(&mut stream).await.0, 200);
        site.set_limits(json!({"max_header_bytes": case.max_header_bytes}));
        tokio::time::sleep(Duration::from_millis(CONFIG_MS)).await;
        let after = lookup(&format!("a{number}"), &long, "small");
        let sent = stream.write_all(after.as_bytes()).await;
        sent.expect("the request should be sent");
        let status = read_response(&mut stream).await.0;
        assert_eq!(status, case.status, "limit {}", case.max_header_bytes);
    }
    let answer = site.fetch(0, &SiteRequest::lookup("after")).await;
    assert_eq!(answer.expect("the gateway should respond").status, 200);
}
