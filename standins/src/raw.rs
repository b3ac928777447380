//! Replicas that misbehave on the wire in ways in which an HTTP server does not: they write their
//! answers by hand.

use std::net::SocketAddr;
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
    /// Sends whole events of a stream, as many as the caller asks for.
    Streams {
        /// Pause before each event, in milliseconds.
        interval_ms: u64,
    },
}

/// A replica that writes its answers by hand.
#[derive(Clone, Debug)]
pub struct RawReplica {
    /// Address at which it receives requests.
    pub address: SocketAddr,
    behaviour: RawBehaviour,
    /// Delay of its answers to report queries; `None` leaves them unanswered.
    report_delay_ms: Option<u64>,
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
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let replica = RawReplica {
            address: listener.local_addr()?,
            behaviour,
            report_delay_ms,
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
        let state = ReplicaState {
            id: "i-raw".to_owned(),
            incarnation: 1,
            layers: (0, layers),
            ..ReplicaState::default()
        };
        table.add(self.address, state);
        let (service, kind) = match layers {
            0 => ("plain", ""),
            _ => ("model", "card"),
        };
        let entry = json!({
            "service": service, "address": self.address.to_string(), "zone": "a", "version": "v1",
            "slots": 64, "state": "ready", "sequence": 1, "born": 1, "kind": kind,
            "layers": {"from": 0, "to": layers, "version": 1},
        });
        store.put("servers/i-raw", &entry);
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
        while let Some(request) = read_request(&mut stream, &mut buffer).await {
            // An error means that the gateway has closed the connection.
            if self.answer(&mut stream, &request).await.is_err() {
                return;
            }
        }
    }

    async fn answer(&self, stream: &mut TcpStream, request: &RawRequest) -> std::io::Result<()> {
        if request.path.starts_with("/api/report") {
            let Some(delay_ms) = self.report_delay_ms else {
                return Ok(());
            };
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            let body = r#"{"sequence":0,"pace":1.0,"stalled":[]}"#;
            return stream.write_all(response("", body).as_bytes()).await;
        }
        if request.path.starts_with("/api/") {
            return stream.write_all(response("", "{}").as_bytes()).await;
        }
        let id = &request.id;
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

fn stream_head(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-replica-stamp: stamp\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
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
