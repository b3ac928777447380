//! Replicas that misbehave on the wire in ways in which an HTTP server does not: they write their
//! answers by hand.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::kv::KvServer;
use crate::replica::{ReplicaState, ReplicaTable};

/// How a replica answers callers' requests.
#[derive(Clone, Copy, Debug)]
pub enum RawBehaviour {
    /// Answers with the request's body, and writes the same answer once more.
    AnswersTwice {
        /// Whether the answers carry the id of their request.
        with_id: bool,
        /// Pause between the two copies, in milliseconds.
        delay_ms: u64,
        /// Whether the second copy is written in two parts, the second of them 15 ms later.
        split: bool,
    },
    /// Sends one event of a stream and then a byte of the next one every 20 ms, without an end.
    Trickles,
    /// Sends bytes without an end.
    Floods(Flood),
    /// Sends a stream with neither a length nor chunks, which ends with its connection.
    StreamsUntilClose {
        /// Number of whole events at most.
        events: u64,
        /// Whether the connection ends inside the next event.
        is_cut: bool,
    },
    /// Answers with the request's body, with neither a length nor chunks.
    AnswersUntilClose {
        /// Whether the connection is reset in the middle of the body.
        is_reset: bool,
    },
    /// Sends some events of a stream in chunks, then closes the connection.
    BreaksOff {
        /// Number of events.
        events: u64,
        /// End of each line of an event.
        line_end: &'static str,
    },
    /// Answers with the request's body, but refuses each request whose id begins with "refused" when it
    /// comes first. When it comes again on a connection that was used before, the refusal is
    /// written once more before the answer.
    RefusesAgain,
    /// Answers with the request's body after some time.
    AnswersAfter {
        /// Time from the request to the answer, in milliseconds.
        delay_ms: u64,
    },
    /// Writes an answer as it stands, with `{id}` replaced by the id of the request.
    Writes(&'static str),
    /// Sends whole events of a stream, as many as the caller asks for.
    Streams {
        /// Pause before each event, in milliseconds.
        interval_ms: u64,
    },
}

/// Bytes without an end that are no answer, written until the caller closes the connection.
#[derive(Clone, Copy, Debug)]
pub enum Flood {
    /// One line of a response head.
    HeaderLine,
    /// Lines of a response head.
    Headers,
    /// Heads of responses that only announce another one.
    InformationalHeads,
    /// A body that ends with its connection.
    Body,
    /// A body in chunks.
    ChunkedBody,
    /// The extension of a chunk's length.
    ChunkExtension,
    /// An event of a stream.
    Event,
    /// Comments of a stream, which are no events.
    Comments,
}

impl Flood {
    /// The text before the flood, and the text that is repeated without an end.
    fn texts(self, id: &str) -> (String, String) {
        let status = "HTTP/1.1 200 OK\r\n";
        let known = format!("x-attempt-id: {id}\r\nx-replica-stamp: stamp\r\n");
        let filler = "x".repeat(4_000);
        let chunk = |data: &str| format!("{:x}\r\n{data}\r\n", data.len());
        match self {
            Flood::HeaderLine => (format!("{status}x-line: "), filler),
            Flood::Headers => (status.to_owned(), "x-line: some value\r\n".repeat(200)),
            Flood::InformationalHeads => (String::new(), "HTTP/1.1 103 Early\r\n\r\n".repeat(200)),
            Flood::Body => (format!("{status}{known}\r\n"), filler),
            Flood::ChunkedBody => (stream_head(id), chunk(&filler)),
            Flood::ChunkExtension => (format!("{}5;x=", stream_head(id)), filler),
            Flood::Event => {
                let start = format!("{}{}", stream_head(id), chunk("id: 1\ndata: "));
                (start, chunk(&filler))
            }
            Flood::Comments => (stream_head(id), chunk(&": x\n\n".repeat(800))),
        }
    }
}

/// A replica that writes its answers by hand.
#[derive(Clone, Debug)]
pub struct RawReplica {
    /// Address at which it receives requests.
    pub address: SocketAddr,
    behaviour: RawBehaviour,
    /// Delay of its answers to report queries; `None` leaves them unanswered.
    report_delay_ms: Option<u64>,
    /// Flood in place of the answers to reports and orders; `None` for proper ones.
    query_flood: Option<Flood>,
    /// Number of reports and orders received.
    queries: Arc<AtomicUsize>,
    /// Number of connections on which a flood is being written.
    floods: Arc<AtomicUsize>,
    /// Number of orders received.
    orders: Arc<AtomicUsize>,
    /// Number of orders that came on a connection that was used before.
    orders_on_kept: Arc<AtomicUsize>,
    /// Ids of the requests received, in order.
    received: Arc<Mutex<Vec<String>>>,
}

impl RawReplica {
    /// Starts a replica with a report delay in milliseconds, `None` for no reports at all.
    ///
    /// # Errors
    ///
    /// If its listener cannot be opened.
    pub async fn start(
        behaviour: RawBehaviour,
        report_delay_ms: Option<u64>,
    ) -> eyre::Result<RawReplica> {
        RawReplica::start_with(behaviour, report_delay_ms, None).await
    }

    /// Starts a replica whose answers to reports and orders are a flood.
    ///
    /// # Errors
    ///
    /// If its listener cannot be opened.
    pub async fn start_flooding_queries(
        behaviour: RawBehaviour,
        flood: Flood,
    ) -> eyre::Result<RawReplica> {
        RawReplica::start_with(behaviour, Some(0), Some(flood)).await
    }

    async fn start_with(
        behaviour: RawBehaviour,
        report_delay_ms: Option<u64>,
        query_flood: Option<Flood>,
    ) -> eyre::Result<RawReplica> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let replica = RawReplica {
            address: listener.local_addr()?,
            behaviour,
            report_delay_ms,
            query_flood,
            queries: Arc::default(),
            floods: Arc::default(),
            orders: Arc::default(),
            orders_on_kept: Arc::default(),
            received: Arc::default(),
        };
        let server = replica.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(server.clone().serve(stream));
            }
        });
        Ok(replica)
    }

    /// Registers the replica: with the first `layers` layers of the model, or for the plain service
    /// if that is zero. The replicas in the table can have it in their chains.
    pub fn register(&self, store: &KvServer, table: &ReplicaTable, layers: u64) {
        self.register_as("i-raw", store, table, layers);
    }

    /// Registers the replica under an id, see [`Self::register`].
    pub fn register_as(&self, id: &str, store: &KvServer, table: &ReplicaTable, layers: u64) {
        let state = ReplicaState {
            id: id.to_owned(),
            incarnation: 1,
            layers: (0, layers),
            ..ReplicaState::default()
        };
        table.add(self.address, state);
        match layers {
            0 => self.write_entry(store, id, "plain", "", 0),
            _ => self.write_entry(store, id, "model", "card", layers),
        }
    }

    /// Registers the replica as an accelerator that holds no layers, so that it is sent orders.
    pub fn register_empty(&self, store: &KvServer) {
        self.write_entry(store, "i-raw", "model", "card", 0);
    }

    fn write_entry(&self, store: &KvServer, id: &str, service: &str, kind: &str, layers: u64) {
        let entry = json!({
            "service": service, "address": self.address.to_string(), "zone": "a", "version": "v1",
            "slots": 64, "state": "ready", "sequence": 1, "born": 1, "kind": kind,
            "layers": {"from": 0, "to": layers, "version": 1},
        });
        store.put(&format!("servers/{id}"), &entry);
    }

    /// Returns the number of connections on which a flood is being written.
    pub fn floods(&self) -> usize {
        self.floods.load(Ordering::Relaxed)
    }

    /// Returns the number of reports and orders received so far.
    pub fn queries(&self) -> usize {
        self.queries.load(Ordering::Relaxed)
    }

    /// Returns the number of orders received so far.
    pub fn orders(&self) -> usize {
        self.orders.load(Ordering::Relaxed)
    }

    /// Returns the number of orders so far that came on a connection that was used before.
    pub fn orders_on_kept(&self) -> usize {
        self.orders_on_kept.load(Ordering::Relaxed)
    }

    /// Returns the ids of the requests received so far.
    pub fn received(&self) -> Vec<String> {
        let received = self.received.lock().unwrap_or_else(PoisonError::into_inner);
        received.clone()
    }

    fn record(&self, id: &str) {
        let mut received = self.received.lock().unwrap_or_else(PoisonError::into_inner);
        received.push(id.to_owned());
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        let mut is_kept = false;
        while let Some(mut request) = read_request(&mut stream, &mut buffer).await {
            request.is_kept = std::mem::replace(&mut is_kept, true);
            // An error means that the gateway has closed the connection.
            if self.answer(&mut stream, &request).await.is_err() {
                return;
            }
        }
    }

    /// Writes a flood until the caller closes the connection.
    async fn write_flood(
        &self,
        stream: &mut TcpStream,
        flood: Flood,
        id: &str,
    ) -> std::io::Result<()> {
        self.floods.fetch_add(1, Ordering::Relaxed);
        let (start, repeated) = flood.texts(id);
        let mut end = stream.write_all(start.as_bytes()).await;
        while end.is_ok() {
            end = stream.write_all(repeated.as_bytes()).await;
            // Leaves the gateways some of the machine.
            tokio::time::sleep(Duration::from_micros(200)).await;
        }
        self.floods.fetch_sub(1, Ordering::Relaxed);
        end
    }

    async fn answer(&self, stream: &mut TcpStream, request: &RawRequest) -> std::io::Result<()> {
        if request.path.starts_with("/api/") {
            self.queries.fetch_add(1, Ordering::Relaxed);
            if let Some(flood) = self.query_flood {
                return self.write_flood(stream, flood, "").await;
            }
        }
        if request.path.starts_with("/api/report") {
            let Some(delay_ms) = self.report_delay_ms else {
                return Ok(());
            };
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            let body = r#"{"sequence":0,"pace":1.0,"stalled":[]}"#;
            return stream.write_all(response("", body).as_bytes()).await;
        }
        if request.path.starts_with("/api/") {
            let is_kept = usize::from(request.is_kept);
            self.orders.fetch_add(1, Ordering::Relaxed);
            self.orders_on_kept.fetch_add(is_kept, Ordering::Relaxed);
            return stream.write_all(response("", "{}").as_bytes()).await;
        }
        let id = &request.id;
        let is_again = self.received().contains(id);
        self.record(id);
        match self.behaviour {
            RawBehaviour::AnswersTwice {
                with_id,
                delay_ms,
                split,
            } => {
                let answer = response(if with_id { id } else { "" }, &request.body);
                stream.write_all(answer.as_bytes()).await?;
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                let (first, second) = answer.split_at(if split { answer.len() / 2 } else { 0 });
                stream.write_all(first.as_bytes()).await?;
                tokio::time::sleep(Duration::from_millis(if split { 15 } else { 0 })).await;
                stream.write_all(second.as_bytes()).await
            }
            RawBehaviour::Trickles => {
                stream.write_all(stream_head(id).as_bytes()).await?;
                write_chunk(stream, "id: 1\ndata: token 1\n\nid: 2\ndata: ").await?;
                loop {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    write_chunk(stream, "x").await?;
                }
            }
            RawBehaviour::Floods(flood) => self.write_flood(stream, flood, id).await,
            RawBehaviour::StreamsUntilClose { events, is_cut } => {
                stream
                    .write_all(open_head(id, EVENT_STREAM).as_bytes())
                    .await?;
                let last = request.event_count.min(request.first_event - 1 + events);
                for number in request.first_event..=last {
                    let event = format!("id: {number}\ndata: token {number}\n\n");
                    stream.write_all(event.as_bytes()).await?;
                }
                if is_cut {
                    let cut = format!("id: {}\nda", last + 1);
                    stream.write_all(cut.as_bytes()).await?;
                }
                Err(std::io::ErrorKind::ConnectionAborted.into())
            }
            RawBehaviour::AnswersUntilClose { is_reset } => {
                stream
                    .write_all(open_head(id, "text/plain").as_bytes())
                    .await?;
                let length = request.body.len() / if is_reset { 2 } else { 1 };
                stream.write_all(&request.body.as_bytes()[..length]).await?;
                if is_reset {
                    // The part of the body has to arrive before the reset discards it.
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    stream.set_zero_linger()?;
                }
                Err(std::io::ErrorKind::ConnectionAborted.into())
            }
            RawBehaviour::BreaksOff { events, line_end } => {
                stream.write_all(stream_head(id).as_bytes()).await?;
                for number in request.first_event..request.first_event + events {
                    let event = format!("id: {number}\ndata: token {number}\n\n");
                    write_chunk(stream, &event.replace('\n', line_end)).await?;
                }
                Err(std::io::ErrorKind::ConnectionAborted.into())
            }
            RawBehaviour::RefusesAgain => {
                let may_refuse = id.starts_with("refused");
                if may_refuse && (!is_again || request.is_kept) {
                    let refusal = format!(
                        "HTTP/1.1 503 Service Unavailable\r\nx-attempt-id: {id}\r\n\
                         x-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
                    );
                    stream.write_all(refusal.as_bytes()).await?;
                }
                match may_refuse && !is_again {
                    true => Ok(()),
                    false => {
                        stream
                            .write_all(response(id, &request.body).as_bytes())
                            .await
                    }
                }
            }
            RawBehaviour::AnswersAfter { delay_ms } => {
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                let answer = response(id, &request.body);
                stream.write_all(answer.as_bytes()).await
            }
            RawBehaviour::Writes(answer) => {
                let answer = answer.replace("{id}", id);
                stream.write_all(answer.as_bytes()).await
            }
            RawBehaviour::Streams { interval_ms } => {
                stream.write_all(stream_head(id).as_bytes()).await?;
                for number in request.first_event..=request.event_count {
                    tokio::time::sleep(Duration::from_millis(interval_ms)).await;
                    let event = format!("id: {number}\ndata: token {number}\n\n");
                    write_chunk(stream, &event).await?;
                }
                stream.write_all(b"0\r\n\r\n").await
            }
        }
    }
}

fn response(id: &str, body: &str) -> String {
    let id_line = match id {
        "" => String::new(),
        id => format!("x-attempt-id: {id}\r\n"),
    };
    format!(
        "HTTP/1.1 200 OK\r\n{id_line}x-replica-stamp: stamp\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

const EVENT_STREAM: &str = "text/event-stream";

/// Head of an answer that ends with its connection.
fn open_head(id: &str, body_type: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-replica-stamp: stamp\r\n\
         content-type: {body_type}\r\n\r\n"
    )
}

fn stream_head(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-replica-stamp: stamp\r\n\
         content-type: {EVENT_STREAM}\r\ntransfer-encoding: chunked\r\n\r\n"
    )
}

async fn write_chunk(stream: &mut TcpStream, data: &str) -> std::io::Result<()> {
    let chunk = format!("{:x}\r\n{data}\r\n", data.len());
    stream.write_all(chunk.as_bytes()).await
}

struct RawRequest {
    path: String,
    id: String,
    body: String,
    /// Number of the first event that the caller has not got yet.
    first_event: u64,
    event_count: u64,
    /// Whether another request came on the connection before.
    is_kept: bool,
}

/// Reads one request with a `content-length`. Returns `None` at the end of the connection.
async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<RawRequest> {
    loop {
        let text = String::from_utf8_lossy(buffer).into_owned();
        if let Some((head, rest)) = text.split_once("\r\n\r\n") {
            let header = |name: &str| {
                let mut lines = head.lines().skip(1).filter_map(|line| line.split_once(':'));
                let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
                found.map_or("", |(_, value)| value.trim()).to_owned()
            };
            let length: usize = header("content-length").parse().unwrap_or(0);
            if rest.len() >= length {
                let request = RawRequest {
                    path: head.split(' ').nth(1).unwrap_or("").to_owned(),
                    id: header("x-attempt-id"),
                    body: rest[..length].to_owned(),
                    first_event: header("last-event-id")
                        .parse()
                        .map_or(1, |last: u64| last + 1),
                    event_count: header("x-token-count")
                        .split_once(',')
                        .and_then(|(_, count)| count.trim().parse().ok())
                        .unwrap_or(1),
                    is_kept: false,
                };
                buffer.drain(..head.len() + 4 + length);
                return Some(request);
            }
        }
        let mut bytes = [0; 4096];
        match stream.read(&mut bytes).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend_from_slice(&bytes[..count]),
        }
    }
}
