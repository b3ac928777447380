//! Case 1: a planned stop while clients still read long answers that the replica has made.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::{
    bind, connect_by_ethernet, keep_registered, manifest, read_request, serve_connections,
    start_gateway, wait_ready, write_response, Record, Store, SIGTERM,
};

/// Bytes of each answer: as many as the manifest allows a request.
const ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// What a client's link carries, bytes a second: the answers take less than six seconds.
const LINK_BYTES_PER_S: f64 = 720_000.0;
/// Upper bound of one read, bytes.
const READ_BYTES: usize = 16 * 1024;
/// Time from the requests to the signal. The replica has answered by then.
const BEFORE_STOP: Duration = Duration::from_millis(300);
/// Time budget of the requests, as that of the route, milliseconds.
const DEADLINE_MS: u64 = 20_000;

/// Sends a request and reads the answer as fast as the link carries it. Returns whether the answer
/// is complete, or `None` if the request could not be sent.
fn ask(record: &Record, front: SocketAddr, method: &str, path: &str, id: &str) -> Option<bool> {
    let mut stream = connect_by_ethernet(front).ok()?;
    let body = if method == "POST" { "claim" } else { "" };
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: mill.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: {DEADLINE_MS}\r\nX-Api-Key: key-of-mill\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let sent_at = Instant::now();
    record.line(&format!("client sent {method} {path} {id}"));
    let mut answer = Vec::new();
    let mut buffer = vec![0; READ_BYTES];
    let end = loop {
        if stated_length(&answer).is_some_and(|length| answer.len() >= length) {
            break "complete".to_owned();
        }
        match stream.read(&mut buffer) {
            Ok(0) => break "connection closed".to_owned(),
            Ok(count) => answer.extend_from_slice(&buffer[..count]),
            Err(error) => break error.to_string(),
        }
        let due = Duration::from_secs_f64(answer.len() as f64 / LINK_BYTES_PER_S);
        thread::sleep(due.saturating_sub(sent_at.elapsed()));
    };
    let line = String::from_utf8_lossy(&answer).into_owned();
    let line = line.lines().next().unwrap_or("no answer").to_owned();
    let took_ms = sent_at.elapsed().as_millis();
    record.line(&format!(
        "client got for {id}: {line}, {} of {} bytes, {end}, {took_ms} ms after sending",
        answer.len(),
        stated_length(&answer).map_or_else(|| "?".to_owned(), |length| length.to_string())
    ));
    Some(end == "complete")
}

/// Bytes of an answer, head and body, as its head states them.
fn stated_length(answer: &[u8]) -> Option<usize> {
    let head = answer.windows(4).position(|window| window == b"\r\n\r\n")?;
    let text = String::from_utf8_lossy(&answer[..head]).to_ascii_lowercase();
    let mut lengths = text.lines().filter_map(|line| line.strip_prefix("content-length:"));
    let length: usize = lengths.next()?.trim().parse().ok()?;
    Some(head + 4 + length)
}

pub fn run(record: &Record, trouble: bool, logs: &str) -> i32 {
    let store = Store::default();
    let store_listener = bind();
    let store_address = store_listener.local_addr().expect("an address");
    store.put("op/config", &manifest(1));
    store.serve(store_listener);
    let replica = bind();
    keep_registered(&store, "i-1", replica.local_addr().expect("an address"));
    let replica_record = record.clone();
    serve_connections(replica, move |mut stream| {
        let mut rest = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut rest) {
            let id = request.header("x-attempt-id").to_owned();
            replica_record.line(&format!("replica runs {} {} {id}", request.method, request.target));
            let headers = [("X-Attempt-Id", id.as_str()), ("X-Replica-Stamp", "3e1b.07")];
            if write_response(&mut stream, 200, &headers, &vec![b'a'; ANSWER_BYTES]).is_err() {
                return;
            }
            replica_record.line(&format!("replica has answered {id} in full"));
        }
    });
    let Ok(mut gateway) = start_gateway("edge-1", store_address, logs) else {
        return 2;
    };
    if !wait_ready(&gateway) {
        record.line("the gateway did not get ready");
        return 2;
    }
    let front = gateway.front;
    let requests = [("GET", "/lookup/1", "a1"), ("POST", "/issue/2", "a2")];
    let clients = requests.map(|(method, path, id)| {
        let record = record.clone();
        thread::spawn(move || ask(&record, front, method, path, id))
    });
    thread::sleep(BEFORE_STOP);
    let stopped_at = Instant::now();
    if trouble {
        gateway.signal(SIGTERM);
        record.line("SIGTERM to the gateway; the platform would kill it 8000 ms later");
        if let Ok(status) = gateway.child.wait() {
            let took_ms = stopped_at.elapsed().as_millis();
            record.line(&format!("the gateway ended, {status}, {took_ms} ms after SIGTERM"));
        }
    }
    let ends = clients.map(|client| client.join().ok().flatten());
    if ends.contains(&None) {
        return 2;
    }
    i32::from(ends.contains(&Some(false)))
}
