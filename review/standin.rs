//! Stand-ins of the review: the platform's store, replicas of a plain service, clients, and the
//! gateways as separate processes with the command of the deploy file. Standard library only.
//!
//! Each case is a subcommand. Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::FromRawFd;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

mod case_large_answer;
mod case_raised_limit;
mod case_silent_store;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const u8, length: u32) -> i32;
    fn close(socket: i32) -> i32;
}

const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;

// ---------------------------------------------------------------- JSON and base64

/// A JSON value, as far as the store's calls need it.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    fn get(&self, name: &str) -> &Json {
        match self {
            Json::Map(rows) => rows
                .iter()
                .find(|(key, _)| key == name)
                .map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }

    fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

struct JsonReader<'a> {
    text: &'a [u8],
    at: usize,
}

fn parse_json(text: &[u8]) -> Json {
    JsonReader { text, at: 0 }.value().unwrap_or(Json::Null)
}

impl JsonReader<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.text.get(self.at).copied()
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => self.map(),
            b'[' => self.items(),
            b'"' => Some(Json::Text(self.string()?)),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.digits(),
        }
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let found = self.text[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        found.then_some(value)
    }

    fn digits(&mut self) -> Option<Json> {
        let rest = &self.text[self.at..];
        let end = rest
            .iter()
            .position(|byte| !b"+-.eE0123456789".contains(byte))
            .unwrap_or(rest.len());
        self.at += end;
        let text = std::str::from_utf8(&rest[..end]).ok()?;
        text.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.at += 1;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'u' => {
                            let digits = std::str::from_utf8(self.text.get(self.at..self.at + 4)?);
                            let code = u32::from_str_radix(digits.ok()?, 16).ok()?;
                            self.at += 4;
                            let letter = char::from_u32(code).unwrap_or('?');
                            bytes.extend(letter.to_string().as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }

    fn items(&mut self) -> Option<Json> {
        self.at += 1;
        let mut items = Vec::new();
        loop {
            match self.peek()? {
                b']' => {
                    self.at += 1;
                    return Some(Json::List(items));
                }
                b',' => self.at += 1,
                _ => items.push(self.value()?),
            }
        }
    }

    fn map(&mut self) -> Option<Json> {
        self.at += 1;
        let mut rows = Vec::new();
        loop {
            match self.peek()? {
                b'}' => {
                    self.at += 1;
                    return Some(Json::Map(rows));
                }
                b',' | b':' => self.at += 1,
                _ => {
                    let key = self.string()?;
                    if self.peek()? != b':' {
                        return None;
                    }
                    self.at += 1;
                    rows.push((key, self.value()?));
                }
            }
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for place in 0..4 {
            if place <= chunk.len() {
                text.push(ALPHABET[(word >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn decode_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut word, mut bits) = (0u32, 0);
    for letter in text.bytes() {
        let Some(value) = ALPHABET.iter().position(|other| *other == letter) else {
            break;
        };
        word = word << 6 | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    bytes
}

// ---------------------------------------------------------------- HTTP

/// A request as a stand-in reads it.
#[derive(Clone, Debug, Default)]
pub struct HttpRequest {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl HttpRequest {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    fn param(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value);
        let mut bytes = Vec::new();
        let mut rest = value.bytes();
        while let Some(byte) = rest.next() {
            match byte {
                b'%' => {
                    let digits: String = rest.by_ref().take(2).map(char::from).collect();
                    bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
                }
                other => bytes.push(other),
            }
        }
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

/// Reads a head and the body that its length states. `None` at the end of the connection.
pub fn read_request(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<HttpRequest> {
    let end = loop {
        if let Some(at) = rest.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        read_more(stream, rest)?;
    };
    let head: Vec<u8> = rest.drain(..end).collect();
    let head = String::from_utf8_lossy(&head).into_owned();
    let mut lines = head.split("\r\n");
    let mut words = lines.next()?.split(' ');
    let mut request = HttpRequest {
        method: words.next()?.to_owned(),
        target: words.next()?.to_owned(),
        ..HttpRequest::default()
    };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            let pair = (name.to_ascii_lowercase(), value.trim().to_owned());
            request.headers.push(pair);
        }
    }
    let length: usize = request.header("content-length").parse().unwrap_or(0);
    while rest.len() < length {
        read_more(stream, rest)?;
    }
    request.body = rest.drain(..length).collect();
    Some(request)
}

fn read_more(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<()> {
    let mut buffer = [0; 65_536];
    let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
    rest.extend_from_slice(&buffer[..count]);
    Some(())
}

pub fn write_response(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Serves each connection on a thread of its own.
pub fn serve_connections(
    listener: TcpListener,
    handler: impl Fn(TcpStream) + Clone + Send + 'static,
) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handler = handler.clone();
            thread::spawn(move || handler(stream));
        }
    });
}

// ---------------------------------------------------------------- the platform's store

#[derive(Clone, Debug)]
struct StoreItem {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct StoreData {
    revision: u64,
    items: BTreeMap<String, StoreItem>,
    changes: Vec<(u64, String, Option<StoreItem>)>,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
    /// Number of times that the open connections went silent for good.
    silences: u64,
    /// Number of answers to watches, by prefix.
    watches: HashMap<String, u64>,
}

/// The store: one revision counter, leases, conditional writes and watches.
#[derive(Clone, Debug, Default)]
pub struct Store(Arc<(Mutex<StoreData>, Condvar)>);

fn item_json(key: &str, item: &StoreItem) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        encode_base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

impl StoreData {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = StoreItem {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.changes.push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.changes.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let known = self.leases.remove(&lease).is_some();
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| lease != 0 && item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
        known
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, until))| now >= *until)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }
}

impl Store {
    /// Writes a key as the operator or a replica does.
    pub fn put(&self, key: &str, value: &str) {
        let mut data = self.0 .0.lock().unwrap();
        data.revision += 1;
        data.put(key, value.as_bytes().to_vec(), 0);
        self.0 .1.notify_all();
    }

    /// Has all open connections go silent for good, without a reset. New ones work.
    pub fn silence_open_connections(&self) {
        self.0 .0.lock().unwrap().silences += 1;
    }

    /// Number of answers to watches on a prefix.
    pub fn watches(&self, prefix: &str) -> u64 {
        let data = self.0 .0.lock().unwrap();
        data.watches.get(prefix).copied().unwrap_or(0)
    }

    pub fn serve(&self, listener: TcpListener) {
        let store = self.clone();
        serve_connections(listener, move |mut stream| {
            let silences = || store.0 .0.lock().unwrap().silences;
            let opened_after = silences();
            let mut rest = Vec::new();
            while let Some(request) = read_request(&mut stream, &mut rest) {
                let (status, body) = store.answer(&request);
                while silences() != opened_after {
                    // The peer's bytes are read no more, and nothing is sent.
                    thread::sleep(Duration::from_millis(100));
                }
                let headers = [("Content-Type", "application/json")];
                if write_response(&mut stream, status, &headers, body.as_bytes()).is_err() {
                    return;
                }
                if request.path() == "/api/kv-watch" {
                    let mut data = store.0 .0.lock().unwrap();
                    *data.watches.entry(request.param("prefix")).or_default() += 1;
                }
            }
        });
    }

    fn answer(&self, request: &HttpRequest) -> (u16, String) {
        let mut data = self.0 .0.lock().unwrap();
        data.expire();
        let path = request.path().to_owned();
        match (request.method.as_str(), path.as_str()) {
            ("GET", "/api/kv-key") => match data.items.get(&request.param("key")) {
                Some(item) => {
                    let text = item_json(&request.param("key"), item);
                    let text = text.trim_end_matches('}');
                    (200, format!("{text},\"store_revision\":{}}}", data.revision))
                }
                None => (404, format!("{{\"store_revision\":{}}}", data.revision)),
            },
            ("GET", "/api/kv-range") => {
                let (prefix, after) = (request.param("prefix"), request.param("after"));
                let items = data.items.iter();
                let items = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = items.map(|(key, item)| item_json(key, item)).collect();
                let text = format!(
                    "{{\"items\":[{}],\"truncated\":false,\"store_revision\":{}}}",
                    items.join(","),
                    data.revision
                );
                (200, text)
            }
            ("GET", "/api/kv-watch") => {
                drop(data);
                self.watch(request)
            }
            ("POST", "/api/kv-txn") => {
                let answer = txn(&mut data, &parse_json(&request.body));
                self.0 .1.notify_all();
                answer
            }
            ("POST", "/api/kv-lease") => {
                let ttl_ms = parse_json(&request.body).get("ttl_ms").number().max(1_000);
                let ttl = Duration::from_millis(ttl_ms);
                data.next_lease += 1;
                let lease = data.next_lease;
                data.leases.insert(lease, (ttl, Instant::now() + ttl));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}"))
            }
            (method, path) => {
                let (call, id) = path.rsplit_once('/').unwrap_or((path, ""));
                let lease: u64 = id.parse().unwrap_or(0);
                match (method, call) {
                    ("POST", "/api/kv-keep") => match data.leases.get_mut(&lease) {
                        Some((ttl, until)) => {
                            *until = Instant::now() + *ttl;
                            (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                        }
                        None => (404, "{}".to_owned()),
                    },
                    ("DELETE", "/api/kv-lease-end") => {
                        let known = data.end_lease(lease);
                        self.0 .1.notify_all();
                        (if known { 200 } else { 404 }, "{}".to_owned())
                    }
                    _ => (400, "{}".to_owned()),
                }
            }
        }
    }

    fn watch(&self, request: &HttpRequest) -> (u16, String) {
        let prefix = request.param("prefix");
        let after: u64 = request.param("after").parse().unwrap_or(0);
        let wait_ms = request.param("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut data = self.0 .0.lock().unwrap();
        loop {
            data.expire();
            let changes = data.changes.iter();
            let events = changes.filter(|(at, key, _)| *at > after && key.starts_with(&prefix));
            let events: Vec<String> = events
                .map(|(at, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => format!("{{\"key\":\"{key}\",\"revision\":{at},\"removed\":true}}"),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let text = format!(
                    "{{\"events\":[{}],\"store_revision\":{}}}",
                    events.join(","),
                    data.revision
                );
                return (200, text);
            }
            let wait = (until - now).min(Duration::from_millis(50));
            data = self.0 .1.wait_timeout(data, wait).unwrap().0;
        }
    }
}

fn txn(data: &mut StoreData, body: &Json) -> (u16, String) {
    let expected = body.get("expected").list();
    let holds = expected.iter().all(|row| {
        let item = data.items.get(row.get("key").text());
        item.map_or(0, |item| item.revision) == row.get("revision").number()
    });
    if !holds {
        let items = expected.iter().filter_map(|row| {
            let key = row.get("key").text();
            Some(item_json(key, data.items.get(key)?))
        });
        let items: Vec<String> = items.collect();
        return (412, format!("{{\"items\":[{}]}}", items.join(",")));
    }
    let puts = body.get("puts").list();
    let mut leases = puts.iter().map(|row| row.get("lease").number());
    if leases.any(|lease| lease != 0 && !data.leases.contains_key(&lease)) {
        return (404, "{}".to_owned());
    }
    data.revision += 1;
    for row in puts {
        let value = decode_base64(row.get("value").text());
        data.put(row.get("key").text(), value, row.get("lease").number());
    }
    for key in body.get("remove").list() {
        data.remove(key.text());
    }
    (200, format!("{{\"revision\":{}}}", data.revision))
}

// ---------------------------------------------------------------- the site

/// What happened, for `record.txt` and for the check.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, Instant);

impl Record {
    pub fn line(&self, text: &str) {
        let at = self.1.elapsed().as_millis();
        let mut file = self.0.lock().unwrap();
        let _ = writeln!(file, "{at:>6} ms {text}");
        println!("{at:>6} ms {text}");
    }
}

pub fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Longest time of a case.
const CASE_LIMIT: Duration = Duration::from_secs(100);
/// Ids of the processes that this one started.
static STARTED: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Ends the processes and the case if it takes too long.
fn limit_time() {
    thread::spawn(|| {
        thread::sleep(CASE_LIMIT);
        for id in STARTED.lock().unwrap().iter() {
            // SAFETY: a plain system call; the processes are children of this one.
            unsafe { kill(*id, SIGKILL) };
        }
        std::process::exit(2);
    });
}

/// A gateway process, which is killed when it is dropped.
pub struct Gateway {
    pub child: Child,
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

impl Gateway {
    pub fn signal(&self, signal: i32) {
        // SAFETY: a plain system call; the process is a child of this one that was not waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Ok(None) = self.child.try_wait() {
            self.signal(SIGKILL);
        }
        let _ = self.child.wait();
    }
}

/// Opens a connection as a small device on an ordinary network has it: with segments of 1,400 bytes,
/// where loopback has 64 KiB, and a small receive buffer.
pub fn connect_by_ethernet(address: SocketAddr) -> io::Result<TcpStream> {
    const SEGMENT_BYTES: i32 = 1_400;
    const RECEIVE_BYTES: i32 = 32 * 1024;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    let SocketAddr::V4(address) = address else {
        return Err(io::Error::other("not an IPv4 address"));
    };
    let mut bytes = [0u8; 16];
    bytes[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    bytes[2..4].copy_from_slice(&address.port().to_be_bytes());
    bytes[4..8].copy_from_slice(&address.ip().octets());
    // SAFETY: plain system calls on a socket of this function; the pointers are valid for the
    // lengths given.
    unsafe {
        let socket = socket(AF_INET, SOCK_STREAM, 0);
        if socket < 0 {
            return Err(io::Error::last_os_error());
        }
        let is_set = setsockopt(socket, IPPROTO_TCP, TCP_MAXSEG, &SEGMENT_BYTES, 4) == 0
            && setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &RECEIVE_BYTES, 4) == 0;
        if !is_set || connect(socket, bytes.as_ptr(), 16) != 0 {
            let error = io::Error::last_os_error();
            close(socket);
            return Err(error);
        }
        Ok(TcpStream::from_raw_fd(socket))
    }
}

pub fn bind() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// A free address whose listener is closed at once.
fn free_address() -> SocketAddr {
    bind().local_addr().expect("an address")
}

/// Starts a gateway with the command of the deploy file and the bounds of the small installation.
pub fn start_gateway(name: &str, store: SocketAddr, logs: &str) -> io::Result<Gateway> {
    let (front, ready) = (free_address(), free_address());
    let mail = free_address();
    let file = File::create(format!("{logs}/{name}.log"))?;
    let child = Command::new("target/release/lynxcart")
        .arg("gateway")
        .args(["--name", name])
        .args(["--front-address", &front.to_string()])
        .args(["--ready-address", &ready.to_string()])
        .args(["--mail-address", &mail.to_string()])
        .args(["--platform", &store.to_string()])
        .args(["--failure-domain", "norte-es-a"])
        .args(["--drain-limit-ms", "8s"])
        .env("LYNXCART_KEYS", "change-me-for-each-installation")
        .env("LYNXCART_REVOKE_MS", "5000")
        .env("LYNXCART_LEAVE_BOUND_MS", "2000")
        .env("LYNXCART_BUDGET_WINDOW_MS", "10s")
        .env("LYNXCART_BUDGET_RATIO", "0.2")
        .env("LYNXCART_BUDGET_EXTRA", "202")
        .env("LYNXCART_LOG", "info")
        .stdin(Stdio::null())
        .stdout(file.try_clone()?)
        .stderr(file)
        .spawn()?;
    STARTED.lock().unwrap().push(child.id() as i32);
    Ok(Gateway {
        child,
        front,
        ready,
    })
}

/// Asks for readiness as the platform does.
pub fn is_ready(gateway: &Gateway) -> bool {
    let Ok(mut stream) = TcpStream::connect(gateway.ready) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let request = b"GET /api/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    let mut answer = [0; 12];
    stream.write_all(request).is_ok()
        && stream.read_exact(&mut answer).is_ok()
        && answer.ends_with(b"200")
}

pub fn wait_ready(gateway: &Gateway) -> bool {
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until {
        if is_ready(gateway) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

/// The operator's manifest: one route of each plain kind to one service, and one tenant.
pub fn manifest(version: u64) -> String {
    manifest_with(version, 16_384)
}

/// The manifest with this bound of a request's head.
pub fn manifest_with(version: u64, max_header_bytes: usize) -> String {
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"mill.example\",\"prefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeout_ms\":20000,\"aim_ms\":150,\"priority\":2,\
             \"service\":\"registro-cdc\",\"max_attempts\":{attempts},\"anonymous\":false}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{{\"name\":\"registro-cdc\",\
         \"health_path\":\"/healthz\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":{max_header_bytes},\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"mill\",\"api_keys\":[\"key-of-mill\"],\"priority\":1}}]}}",
        route("issue", "non_idempotent", 1),
        route("lookup", "idempotent", 2),
    )
}

/// A replica's entry in the store, which each heartbeat writes again.
#[derive(Clone)]
pub struct Registration {
    store: Store,
    id: String,
    address: SocketAddr,
    born: u64,
    /// Heartbeats so far, and whether the replica is leaving.
    state: Arc<Mutex<(u64, bool)>>,
}

impl Registration {
    fn beat(&self) {
        let mut state = self.state.lock().unwrap();
        state.0 += 1;
        let (sequence, word) = (state.0, if state.1 { "draining" } else { "ready" });
        let (address, born) = (self.address, self.born);
        let entry = format!(
            "{{\"service\":\"registro-cdc\",\"address\":\"{address}\",\"zone\":\"norte-es-a\",\
             \"version\":\"v1\",\"slots\":6,\"state\":\"{word}\",\"cold_remaining_ms\":0,\
             \"born\":{born},\"sequence\":{sequence}}}"
        );
        self.store.put(&format!("servers/{}", self.id), &entry);
    }

    /// Reports that the replica is leaving. The store has accepted it when this returns.
    pub fn leave(&self) {
        self.state.lock().unwrap().1 = true;
        self.beat();
    }
}

/// Registers a replica now and about every heartbeat.
pub fn keep_registered(store: &Store, id: &str, address: SocketAddr) -> Registration {
    let registration = Registration {
        store: store.clone(),
        id: id.to_owned(),
        address,
        born: now_ms(),
        state: Arc::default(),
    };
    registration.beat();
    let beating = registration.clone();
    thread::spawn(move || loop {
        thread::sleep(Duration::from_millis(1_200));
        beating.beat();
    });
    registration
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (case, folder) = match &arguments[..] {
        [_, case, folder] => (case.as_str(), folder.as_str()),
        _ => {
            eprintln!("usage: standin CASE FOLDER");
            std::process::exit(2);
        }
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let path = format!("{folder}/record.txt");
    let file = File::create(&path).unwrap_or_else(|error| {
        eprintln!("could not write {path}: {error}");
        std::process::exit(2);
    });
    let record = Record(Arc::new(Mutex::new(file)), Instant::now());
    limit_time();
    let logs = std::env::var("REVIEW_TMP").unwrap_or_else(|_| "/tmp".to_owned());
    let code = match case {
        "large-answer" => case_large_answer::run(&record, trouble, &logs),
        "raised-limit" => case_raised_limit::run(&record, trouble, &logs),
        "silent-store" => case_silent_store::run(&record, trouble, &logs),
        _ => 2,
    };
    record.line(&format!("exit code {code}"));
    std::process::exit(code);
}
