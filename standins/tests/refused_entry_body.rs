//! A refusal of an entry or an agent reaches its caller also if it is written while the request's body
//! is still coming.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

use lynxcart::web::MAX_BODY_BYTES;
use standins::fleet::{Fleet, FleetSetup, TEAM_TOKEN};

/// Number of callers of each case.
const CALLERS: usize = 10;

struct RefusalCase {
    name: &'static str,
    request_line: &'static str,
    body_bytes: usize,
    status: &'static str,
}

const CASES: &[RefusalCase] = &[
    RefusalCase {
        name: "no route",
        request_line: "POST /none",
        body_bytes: 900_000,
        status: "404",
    },
    RefusalCase {
        name: "wrong method",
        request_line: "POST /livez",
        body_bytes: 60_000,
        status: "405",
    },
    RefusalCase {
        name: "too large",
        request_line: "POST /v1/completions",
        body_bytes: MAX_BODY_BYTES * 2,
        status: "413",
    },
];

/// Sends a request and reads the status of its answer. Returns an error if the connection fails, as it
/// does for callers that then read no answer, or is reset after it.
fn send(address: SocketAddr, case: &RefusalCase) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    let head = format!(
        "{} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {TEAM_TOKEN}\r\n\
         content-length: {}\r\n\r\n",
        case.request_line, case.body_bytes
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(&vec![b'x'; case.body_bytes])?;
    let mut line = [0; 12];
    stream.read_exact(&mut line)?;
    std::thread::sleep(Duration::from_millis(20));
    match stream.take_error()? {
        Some(error) => Err(error),
        None => Ok(String::from_utf8_lossy(&line[9..]).into_owned()),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn refusals_of_entries_and_agents_reach_callers_that_are_still_sending() {
    let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("refused-entry-body");
    let fleet = Fleet::start(FleetSetup::small(logs))
        .await
        .expect("the fleet should start");
    let servers = [
        ("entry", fleet.entries[0].http_address, CASES),
        ("agent", fleet.agents[0].http_address, &CASES[..2]),
    ];
    let mut lost = Vec::new();
    for (server, address, cases) in servers {
        for case in cases {
            let answers: Vec<_> = (0..CALLERS).map(|_| send(address, case)).collect();
            let is_whole = |answer: &std::io::Result<String>| {
                answer.as_ref().is_ok_and(|status| status == case.status)
            };
            let count = answers.iter().filter(|answer| !is_whole(answer)).count();
            if count > 0 {
                lost.push(format!(
                    "{server}, {}: {count}, {:?}",
                    case.name, answers[0]
                ));
            }
        }
    }
    assert!(
        lost.is_empty(),
        "lost, of {CALLERS} callers each: {lost:#?}"
    );
}
