//! Case 3: the gateway's open connections to the store go silent for good, and a replica leaves.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::{
    bind, keep_registered, manifest, read_request, start_gateway, wait_ready, write_response, Record,
    Store,
};

/// Bounds of the pages.
const DRAIN: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);
/// Time from the report of the replica that it is leaving to the silence.
const SILENT_AFTER: Duration = Duration::from_millis(10);
/// Time from that report to the exit of the replica: `drain_ms` "and a little longer (at times many
/// seconds)".
const EXIT_AFTER: Duration = Duration::from_millis(3_100);
/// Time that a replica takes for a request.
const WORK: Duration = Duration::from_millis(30);
/// Time from the silence for which requests are sent.
const SENDING: Duration = Duration::from_millis(5_000);
/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(10);

fn ask(front: SocketAddr, id: &str) -> Option<String> {
    let mut stream = TcpStream::connect(front).ok()?;
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    let request = format!(
        "POST /issue/1 HTTP/1.1\r\nHost: mill.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: 1000\r\nX-Api-Key: key-of-mill\r\nContent-Length: 5\r\n\
         Connection: close\r\n\r\nclaim"
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).ok()?;
    let text = String::from_utf8_lossy(&answer).into_owned();
    text.lines().next().map(str::to_owned)
}

/// A replica of the plain service, as its clients see it.
#[derive(Clone)]
struct Replica {
    number: usize,
    record: Record,
    /// Requests that reached the replicas, and when.
    arrivals: Arc<Mutex<Vec<(usize, String, Instant)>>>,
    has_exited: Arc<AtomicBool>,
}

impl Replica {
    /// Accepts connections until the replica exits.
    fn serve(self, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a listener");
        thread::spawn(move || {
            while !self.has_exited.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let replica = self.clone();
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        thread::spawn(move || replica.serve_connection(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    fn serve_connection(&self, mut stream: TcpStream) {
        let number = self.number;
        let mut rest = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut rest) {
            if self.has_exited.load(Ordering::Relaxed) {
                return;
            }
            let id = request.header("x-attempt-id").to_owned();
            let arrival = (number, id.clone(), Instant::now());
            self.arrivals.lock().unwrap().push(arrival);
            thread::sleep(WORK);
            if self.has_exited.load(Ordering::Relaxed) {
                self.record.line(&format!("replica {number} has exited while it ran {id}"));
                return;
            }
            let headers = [("X-Attempt-Id", id.as_str()), ("X-Replica-Stamp", "3e1b.07")];
            if write_response(&mut stream, 200, &headers, b"issued").is_err() {
                return;
            }
        }
    }
}

pub fn run(record: &Record, trouble: bool, logs: &str) -> i32 {
    let store = Store::default();
    let store_listener = bind();
    let store_address = store_listener.local_addr().expect("an address");
    store.put("op/config", &manifest(1));
    store.serve(store_listener);
    let arrivals = Arc::default();
    let (mut registrations, mut exits) = (Vec::new(), Vec::new());
    for number in 0..2 {
        let listener = bind();
        let address = listener.local_addr().expect("an address");
        registrations.push(keep_registered(&store, &format!("i-{number}"), address));
        let replica = Replica {
            number,
            record: record.clone(),
            arrivals: Arc::clone(&arrivals),
            has_exited: Arc::default(),
        };
        exits.push(replica.has_exited.clone());
        replica.serve(listener);
    }
    let Ok(gateway) = start_gateway("edge-1", store_address, logs) else {
        return 2;
    };
    if !wait_ready(&gateway) {
        return 2;
    }
    // The lists are read more often in the first seconds.
    thread::sleep(Duration::from_secs(10));
    let watches = store.watches("servers/");
    while store.watches("servers/") == watches {
        thread::sleep(Duration::from_millis(1));
    }
    registrations[0].leave();
    let left_at = Instant::now();
    record.line("replica 0 reports that it is leaving, and the store has accepted it");
    thread::sleep(SILENT_AFTER);
    if trouble {
        store.silence_open_connections();
    }
    let silent_at = Instant::now();
    if trouble {
        record.line("the open connections to the store go silent; new ones work");
    }
    let sent: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let mut clients = Vec::new();
    let mut number = 0;
    while silent_at.elapsed() < SENDING {
        if left_at.elapsed() >= EXIT_AFTER && !exits[0].swap(true, Ordering::Relaxed) {
            record.line("replica 0 exits");
        }
        number += 1;
        let id = format!("a{number}");
        sent.lock().unwrap().push((id.clone(), Instant::now()));
        let front = gateway.front;
        clients.push(thread::spawn(move || ask(front, &id)));
        thread::sleep(INTERVAL);
    }
    let answers: Vec<Option<String>> = clients.into_iter().filter_map(|it| it.join().ok()).collect();
    let served = answers.iter().flatten().filter(|line| line.contains(" 200 ")).count();
    let others: Vec<&String> =
        answers.iter().flatten().filter(|line| !line.contains(" 200 ")).collect();
    record.line(&format!("other answers: {others:?}"));
    let sent = sent.lock().unwrap();
    let (mut late, mut last) = (0, Duration::ZERO);
    for (replica, id, at) in arrivals.lock().unwrap().iter() {
        let sent_at = sent.iter().find(|(other, _)| other == id).map(|(_, at)| *at);
        let Some(sent_at) = sent_at.filter(|_| *replica == 0) else {
            continue;
        };
        last = last.max(at.saturating_duration_since(left_at));
        let is_late = *at > left_at + DRAIN;
        let in_touch = !trouble || sent_at > silent_at + CONTACT;
        if is_late && in_touch {
            late += 1;
            record.line(&format!(
                "{id}: sent {} ms after the silence, at replica 0 {} ms after the store's ack",
                sent_at.duration_since(silent_at).as_millis(),
                at.duration_since(left_at).as_millis()
            ));
        }
    }
    record.line(&format!(
        "{} requests, {served} served; the last at replica 0 came {} ms after the ack; {late} count",
        sent.len(),
        last.as_millis()
    ));
    i32::from(late > 0)
}
