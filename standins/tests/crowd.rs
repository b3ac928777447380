//! Crowds of clients that nobody controls: they send large bodies, bodies without an end or in tiny
//! chunks, and most stop just short of the end and stay. The gateway lives, stays within its VM's
//! memory and descriptors, and serves the callers beside.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use standins::site::{SiteRequest, TestSite, API_KEY};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{Barrier, Mutex};

/// Memory of the gateway's VM, megabytes.
const VM_MEMORY_MB: u64 = 64;
/// Descriptors that the gateway's VM allows it.
const VM_DESCRIPTORS: usize = 256;
/// Largest body that the site's configuration allows, bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Size of one write of a client, bytes.
const PIECE_BYTES: usize = 16 * 1024;
/// Time after which a client whose bytes are not read stops sending. Nothing is checked against it.
const SEND_LIMIT: Duration = Duration::from_secs(60);

/// The tests run one after the other, since each fills the machine's loopback buffers.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// What each client of a crowd sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CrowdShape {
    /// A body of legal size with its length, in one write.
    Whole,
    /// The same, in pieces.
    Pieces,
    /// A body that is announced as far over the limit, and sent until just below it.
    AnnouncedOver,
    /// A chunked body that goes on far over the limit, once all others have come close to it.
    SentOver,
    /// A chunked body of legal size in large chunks.
    LargeChunks,
    /// A chunked body of legal size in chunks of one byte.
    SmallChunks,
    /// Part of a head.
    Head,
    /// A body of legal size of a request that is refused at its head.
    Refused,
}

struct CrowdCase {
    name: &'static str,
    shape: CrowdShape,
    clients: usize,
    /// Bytes of each client's body, or head, without what chunks add.
    bytes: usize,
}

const CROWDS: &[CrowdCase] = &[
    CrowdCase {
        name: "whole",
        shape: CrowdShape::Whole,
        clients: 40,
        bytes: MAX_BODY_BYTES,
    },
    CrowdCase {
        name: "pieces",
        shape: CrowdShape::Pieces,
        clients: 40,
        bytes: MAX_BODY_BYTES,
    },
    CrowdCase {
        name: "announced-over",
        shape: CrowdShape::AnnouncedOver,
        clients: 40,
        bytes: 16 * MAX_BODY_BYTES,
    },
    CrowdCase {
        name: "sent-over",
        shape: CrowdShape::SentOver,
        clients: 40,
        bytes: 2 * MAX_BODY_BYTES,
    },
    CrowdCase {
        name: "large-chunks",
        shape: CrowdShape::LargeChunks,
        clients: 40,
        bytes: MAX_BODY_BYTES,
    },
    CrowdCase {
        name: "small-chunks",
        shape: CrowdShape::SmallChunks,
        clients: 40,
        bytes: 80 * 1024,
    },
    CrowdCase {
        name: "refused",
        shape: CrowdShape::Refused,
        clients: 300,
        bytes: MAX_BODY_BYTES / 4,
    },
    CrowdCase {
        name: "heads",
        shape: CrowdShape::Head,
        clients: 300,
        bytes: 8 * 1024,
    },
];

impl CrowdShape {
    fn head(self, id: &str, bytes: usize) -> String {
        let framing = match self {
            CrowdShape::Whole
            | CrowdShape::Pieces
            | CrowdShape::AnnouncedOver
            | CrowdShape::Refused => {
                format!("content-length: {bytes}\r\n")
            }
            _ => String::from("transfer-encoding: chunked\r\n"),
        };
        let path = match self {
            CrowdShape::Refused => "/none/x",
            _ => "/lookup/x",
        };
        format!(
            "POST {path} HTTP/1.1\r\nhost: site.example\r\nx-attempt-id: {id}\r\n\
             x-api-key: {API_KEY}\r\nx-deadline-ms: 60000\r\n{framing}\r\n"
        )
    }

    /// The body on the wire, without its end if the client stops short of it.
    fn body(self, bytes: usize, stops_short: bool) -> Vec<u8> {
        let chunk_bytes = match self {
            CrowdShape::LargeChunks | CrowdShape::SentOver => 256 * 1024,
            CrowdShape::SmallChunks => 1,
            CrowdShape::AnnouncedOver => return vec![b'x'; MAX_BODY_BYTES - 1],
            _ => {
                let kept = if stops_short { bytes - 1 } else { bytes };
                return vec![b'x'; kept];
            }
        };
        let mut body = Vec::new();
        for _ in 0..bytes / chunk_bytes {
            body.extend(format!("{chunk_bytes:x}\r\n").bytes());
            body.resize(body.len() + chunk_bytes, b'x');
            body.extend(b"\r\n");
        }
        match stops_short {
            true => body.truncate(body.len() - 2),
            false => body.extend(b"0\r\n\r\n"),
        }
        body
    }
}

/// Sends what one client of a crowd sends, as far as it is read. Returns the open connection.
async fn send_as_client(
    site: &TestSite,
    case: &CrowdCase,
    number: usize,
    near_limit: &Barrier,
) -> Option<TcpStream> {
    let address = site.gateways[0].process.http_address;
    let mut stream = TcpStream::connect(address).await.ok()?;
    let head = case
        .shape
        .head(&format!("{}-{number}", case.name), case.bytes);
    if case.shape == CrowdShape::Head {
        let mut partial = head.trim_end().to_owned();
        partial.push_str("\r\nx-long: ");
        partial.extend(std::iter::repeat_n('x', case.bytes));
        let _ = stream.write_all(partial.as_bytes()).await;
        return Some(stream);
    }
    let body = case.shape.body(case.bytes, number % 4 != 0);
    let sent = async {
        stream.write_all(head.as_bytes()).await?;
        match case.shape {
            CrowdShape::Pieces => {
                for piece in body.chunks(PIECE_BYTES) {
                    stream.write_all(piece).await?;
                    tokio::task::yield_now().await;
                }
                Ok(())
            }
            CrowdShape::SentOver => {
                let (near, over) = body.split_at(MAX_BODY_BYTES - 2 * PIECE_BYTES);
                let sent = stream.write_all(near).await;
                near_limit.wait().await;
                sent?;
                stream.write_all(over).await
            }
            _ => stream.write_all(&body).await,
        }
    };
    // A client that is refused or not read stays as long as the others.
    let _ = tokio::time::timeout(SEND_LIMIT, sent).await;
    Some(stream)
}

/// Largest resident memory of the gateway so far, megabytes.
fn peak_memory_mb(site: &TestSite) -> u64 {
    let path = format!("/proc/{}/status", site.gateways[0].process.id());
    let status = std::fs::read_to_string(path).expect("the gateway should run");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    let kib: u64 = number
        .and_then(|text| text.parse().ok())
        .expect("VmHWM in kB");
    kib / 1_024
}

/// Bytes that the kernel holds for the gateway's callers since the gateway has not read them.
fn unread_bytes(site: &TestSite) -> u64 {
    let port = site.gateways[0].process.http_address.port();
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table should be readable");
    let rows = table.lines().skip(1).map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let (local, queues) = (fields.next()?, fields.nth(2)?);
        let is_own = local.ends_with(&format!(":{port:04X}"));
        let unread = u64::from_str_radix(queues.split_once(':')?.1, 16).ok()?;
        is_own.then_some(unread)
    });
    rows.flatten().sum()
}

/// Waits until the gateway has read what the crowd sent, as far as it reads it.
async fn wait_until_read(site: &TestSite) {
    let began = Instant::now();
    while unread_bytes(site) > 0 && began.elapsed() < SEND_LIMIT {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn open_descriptors(site: &TestSite) -> usize {
    let path = format!("/proc/{}/fd", site.gateways[0].process.id());
    let entries = std::fs::read_dir(path).expect("the gateway should run");
    entries.count()
}

async fn check_crowd(case: &CrowdCase) {
    let _turn = ONE_AT_A_TIME.lock().await;
    let name = case.name;
    let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("crowd-{name}"));
    let settings = [
        ("LYNXCART_MEMORY_MB", VM_MEMORY_MB.to_string()),
        ("LYNXCART_DESCRIPTORS", VM_DESCRIPTORS.to_string()),
    ];
    let mut site = TestSite::start_with(logs, 1, &settings)
        .await
        .expect("the site should start");
    let near_limit = Barrier::new(case.clients);
    let clients = (0..case.clients).map(|number| send_as_client(&site, case, number, &near_limit));
    let crowd = join_all(clients).await;
    wait_until_read(&site).await;
    let exited = site.gateways[0].process.has_exited();
    assert!(
        !exited.expect("the status should be readable"),
        "{name}: the gateway ended"
    );
    let descriptors = open_descriptors(&site);
    assert!(
        descriptors <= VM_DESCRIPTORS,
        "{name}: {descriptors} descriptors"
    );
    let answer = site.fetch(0, &SiteRequest::lookup("ordinary")).await;
    let status = answer.expect("the gateway should respond").status;
    assert_eq!(status, 200, "{name}: an ordinary request beside the crowd");
    let peak = peak_memory_mb(&site);
    assert!(peak < VM_MEMORY_MB, "{name}: {peak} MB");
    drop(crowd);
    // A single request inside the limits is still served in calm.
    let largest = SiteRequest {
        body: "x".repeat(MAX_BODY_BYTES).leak(),
        ..SiteRequest::lookup("largest")
    };
    let answer = site.fetch(0, &largest).await;
    let status = answer.expect("the gateway should respond").status;
    assert_eq!(
        status, 200,
        "{name}: the largest legal body after the crowd"
    );
    let peak = peak_memory_mb(&site);
    assert!(peak < VM_MEMORY_MB, "{name}: {peak} MB");
}

async fn check_shape(shape: CrowdShape) {
    let case = CROWDS.iter().find(|case| case.shape == shape);
    check_crowd(case.expect("each shape has a crowd")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_at_once_leave_room_for_others() {
    check_shape(CrowdShape::Whole).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_piece_by_piece_leave_room_for_others() {
    check_shape(CrowdShape::Pieces).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_announced_over_the_limit_leave_room_for_others() {
    check_shape(CrowdShape::AnnouncedOver).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_sent_over_the_limit_leave_room_for_others() {
    check_shape(CrowdShape::SentOver).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_large_chunks_leave_room_for_others() {
    check_shape(CrowdShape::LargeChunks).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_small_chunks_leave_room_for_others() {
    check_shape(CrowdShape::SmallChunks).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_bodies_without_an_end_leave_room_for_others() {
    check_shape(CrowdShape::Refused).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_without_an_end_leave_room_for_others() {
    check_shape(CrowdShape::Head).await;
}
