//! Case 4: the manifest raises the bound of a request's head, and clients go on with the connections
//! that they have.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::{
    bind, keep_registered, manifest_with, read_request, serve_connections, start_gateway,
    wait_ready, write_response, Record, Store,
};

/// Bounds of a request's head before and after the change, bytes.
const BEFORE_BYTES: usize = 16_384;
const AFTER_BYTES: usize = 65_536;
/// Length of the header that the clients send after the change, bytes.
const HEADER_BYTES: usize = 20_000;
/// Bound of the pages within which a manifest is in force, and what is waited beyond it.
const CONFIG: Duration = Duration::from_millis(2_000);
const SLACK: Duration = Duration::from_millis(1_000);
const CLIENTS: usize = 10;
/// Requests of one's own that may be denied, by the rule.
const DENIED_ALLOWED: f64 = 5.0;

/// Sends a lookup and returns the status of its answer; zero if there is none.
fn ask(stream: &mut TcpStream, id: &str, header_bytes: usize) -> u16 {
    let note = "n".repeat(header_bytes);
    let request = format!(
        "GET /lookup/1 HTTP/1.1\r\nHost: mill.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: 1000\r\nX-Api-Key: key-of-mill\r\nX-Delivery-Note: {note}\r\n\r\n"
    );
    if stream.write_all(request.as_bytes()).is_err() {
        return 0;
    }
    let mut answer = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let text = String::from_utf8_lossy(&answer).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let mut lines = head.lines();
            let status = lines.next().and_then(|line| line.split(' ').nth(1)?.parse().ok());
            let length = lines.find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
            if body.len() >= length.unwrap_or(0) {
                return status.unwrap_or(0);
            }
        }
        match stream.read(&mut buffer) {
            Ok(count) if count > 0 => answer.extend_from_slice(&buffer[..count]),
            _ => return 0,
        }
    }
}

fn open(front: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect(front).ok()?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    Some(stream)
}

pub fn run(record: &Record, trouble: bool, logs: &str) -> i32 {
    let store = Store::default();
    let store_listener = bind();
    let store_address = store_listener.local_addr().expect("an address");
    // Without the disruption the bound is as high from the start.
    let first_bytes = if trouble { BEFORE_BYTES } else { AFTER_BYTES };
    store.put("op/config", &manifest_with(1, first_bytes));
    store.serve(store_listener);
    let replica = bind();
    keep_registered(&store, "i-1", replica.local_addr().expect("an address"));
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    let replica_runs = runs.clone();
    serve_connections(replica, move |mut stream| {
        let mut rest = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut rest) {
            let id = request.header("x-attempt-id").to_owned();
            replica_runs.lock().unwrap().push(id.clone());
            let headers = [("X-Attempt-Id", id.as_str()), ("X-Replica-Stamp", "3e1b.07")];
            if write_response(&mut stream, 200, &headers, b"found").is_err() {
                return;
            }
        }
    });
    let Ok(gateway) = start_gateway("edge-1", store_address, logs) else {
        return 2;
    };
    if !wait_ready(&gateway) {
        record.line("the gateway did not get ready");
        return 2;
    }
    let mut clients: Vec<TcpStream> = (0..CLIENTS).filter_map(|_| open(gateway.front)).collect();
    let mut asked = 0;
    for (number, stream) in clients.iter_mut().enumerate() {
        asked += 1;
        let status = ask(stream, &format!("a{number}"), 100);
        record.line(&format!("client {number}, a header of 100 bytes: {status}"));
        if status != 200 {
            return 2;
        }
    }
    if trouble {
        store.put("op/config", &manifest_with(2, AFTER_BYTES));
        record.line(&format!("manifest 2 is acknowledged: max_header_bytes {AFTER_BYTES}"));
    }
    thread::sleep(CONFIG + SLACK);
    let mut denied = 0;
    for (number, stream) in clients.iter_mut().enumerate() {
        asked += 1;
        let status = ask(stream, &format!("b{number}"), HEADER_BYTES);
        record.line(&format!(
            "client {number}, same connection, a header of {HEADER_BYTES} bytes: {status}"
        ));
        denied += usize::from((300..500).contains(&status) && ![408, 421, 429].contains(&status));
    }
    if let Some(mut stream) = open(gateway.front) {
        let status = ask(&mut stream, "c0", HEADER_BYTES);
        record.line(&format!("a new connection, a header of {HEADER_BYTES} bytes: {status}"));
    }
    let run_count = runs.lock().unwrap().len();
    record.line(&format!("{asked} requests, {run_count} run, {denied} denied"));
    i32::from(denied as f64 > DENIED_ALLOWED + asked as f64 / 500.0)
}
