//! Stand-ins of the second review: the platform's store, replicas and clients, and the driver of the
//! cases. It uses the standard library only. Usage: `standin-2 CASE FOLDER`, from the repository's root.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------- JSON, base64 and HTTP

#[derive(Clone, Debug, PartialEq)]
enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    fn parse(text: &[u8]) -> Json {
        let mut at = 0;
        Json::value(text, &mut at).unwrap_or(Json::Null)
    }

    fn skip(text: &[u8], at: &mut usize) {
        while *at < text.len() && (text[*at] as char).is_ascii_whitespace() {
            *at += 1;
        }
    }

    fn value(text: &[u8], at: &mut usize) -> Option<Json> {
        Json::skip(text, at);
        match *text.get(*at)? {
            b'{' => {
                *at += 1;
                let mut fields = Vec::new();
                loop {
                    Json::skip(text, at);
                    match text.get(*at)? {
                        b'}' => {
                            *at += 1;
                            return Some(Json::Map(fields));
                        }
                        b',' => *at += 1,
                        _ => {
                            let Json::Str(name) = Json::value(text, at)? else {
                                return None;
                            };
                            Json::skip(text, at);
                            *at += 1;
                            fields.push((name, Json::value(text, at)?));
                        }
                    }
                }
            }
            b'[' => {
                *at += 1;
                let mut items = Vec::new();
                loop {
                    Json::skip(text, at);
                    match text.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Json::List(items));
                        }
                        b',' => *at += 1,
                        _ => items.push(Json::value(text, at)?),
                    }
                }
            }
            b'"' => {
                *at += 1;
                let mut bytes = Vec::new();
                while text.get(*at)? != &b'"' {
                    if text[*at] == b'\\' {
                        *at += 1;
                        match text.get(*at)? {
                            b'n' => bytes.push(b'\n'),
                            b't' => bytes.push(b'\t'),
                            b'r' => bytes.push(b'\r'),
                            b'u' => {
                                let hex = std::str::from_utf8(text.get(*at + 1..*at + 5)?).ok()?;
                                let code = u32::from_str_radix(hex, 16).ok()?;
                                let letter = char::from_u32(code)?;
                                bytes.extend(letter.to_string().bytes());
                                *at += 4;
                            }
                            other => bytes.push(*other),
                        }
                    } else {
                        bytes.push(text[*at]);
                    }
                    *at += 1;
                }
                *at += 1;
                Some(Json::Str(String::from_utf8_lossy(&bytes).into_owned()))
            }
            b't' => {
                *at += 4;
                Some(Json::Bool(true))
            }
            b'f' => {
                *at += 5;
                Some(Json::Bool(false))
            }
            b'n' => {
                *at += 4;
                Some(Json::Null)
            }
            _ => {
                let from = *at;
                while *at < text.len() && b"+-.eE0123456789".contains(&text[*at]) {
                    *at += 1;
                }
                std::str::from_utf8(&text[from..*at])
                    .ok()?
                    .parse()
                    .ok()
                    .map(Json::Num)
            }
        }
    }

    fn get(&self, name: &str) -> &Json {
        match self {
            Json::Map(fields) => fields
                .iter()
                .find(|(field, _)| field == name)
                .map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }

    fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    fn text(&self) -> &str {
        match self {
            Json::Str(text) => text,
            _ => "",
        }
    }

    fn number(&self) -> u64 {
        match self {
            Json::Num(number) => *number as u64,
            _ => 0,
        }
    }
}

fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            '\n' => quoted.push_str("\\n"),
            other => quoted.push(other),
        }
    }
    quoted + "\""
}

const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let joined = (0..3).fold(0_u32, |sum, i| {
            sum << 8 | u32::from(*part.get(i).unwrap_or(&0))
        });
        for i in 0..4 {
            match i <= part.len() {
                true => text.push(LETTERS[(joined >> (18 - 6 * i) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

fn unbase64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut sum, mut bits) = (0_u32, 0);
    for letter in text.bytes() {
        let Some(value) = LETTERS.iter().position(|other| *other == letter) else {
            break;
        };
        sum = sum << 6 | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((sum >> bits & 255) as u8);
        }
    }
    bytes
}

/// A message on a connection: first line, headers in lower case, and body.
#[derive(Clone, Debug, Default)]
struct Message {
    line: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    fn status(&self) -> u16 {
        self.line
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }

    fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.into_iter().find(|(key, _)| *key == name);
        unescape(found.map_or("", |(_, value)| value))
    }
}

fn unescape(text: &str) -> String {
    let (mut bytes, raw, mut at) = (Vec::new(), text.as_bytes(), 0);
    while at < raw.len() {
        let code = (raw[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                at += 3;
            }
            None => {
                bytes.push(raw[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Why no message came.
#[derive(Clone, Copy, Debug, PartialEq)]
enum NoMessage {
    /// The connection ended before the first byte.
    Closed,
    /// It ended, or failed, inside the message.
    Cut,
    /// The time was over.
    TimedOut,
}

/// Reads one message. `rest` holds bytes that were read before.
fn read_message(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Result<Message, NoMessage> {
    let mut buffer = [0; 16384];
    let mut more = |rest: &mut Vec<u8>| match stream.read(&mut buffer) {
        Ok(0) => Err(NoMessage::Cut),
        Ok(len) => {
            rest.extend_from_slice(&buffer[..len]);
            Ok(())
        }
        Err(error) => match error.kind() {
            std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => {
                Err(NoMessage::TimedOut)
            }
            _ => Err(NoMessage::Cut),
        },
    };
    let end = loop {
        if let Some(at) = rest.windows(4).position(|four| four == b"\r\n\r\n") {
            break at;
        }
        if let Err(why) = more(rest) {
            let is_closed = why == NoMessage::Cut && rest.is_empty();
            return Err(if is_closed { NoMessage::Closed } else { why });
        }
    };
    let head = String::from_utf8_lossy(&rest[..end]).into_owned();
    rest.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let mut message = Message {
        line: lines.next().unwrap_or("").to_owned(),
        ..Message::default()
    };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            message
                .headers
                .push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    if message
        .header("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
    {
        loop {
            let at = loop {
                match rest.windows(2).position(|two| two == b"\r\n") {
                    Some(at) => break at,
                    None => more(rest)?,
                }
            };
            let size = String::from_utf8_lossy(&rest[..at]).into_owned();
            let size = usize::from_str_radix(size.trim(), 16).map_err(|_| NoMessage::Cut)?;
            while rest.len() < at + 2 + size + 2 {
                more(rest)?;
            }
            message.body.extend_from_slice(&rest[at + 2..at + 2 + size]);
            rest.drain(..at + 2 + size + 2);
            if size == 0 {
                return Ok(message);
            }
        }
    }
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    while rest.len() < length {
        more(rest)?;
    }
    message.body = rest.drain(..length).collect();
    Ok(message)
}

fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    let mut bytes = (text + "\r\n").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

// ---------------------------------------------------------------- the platform's store

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

impl Item {
    fn json(&self, key: &str) -> String {
        format!(
            "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}",
            quote(key),
            base64(&self.value),
            self.revision,
            self.created,
            self.lease
        )
    }
}

/// Time for which the store keeps its history, seconds.
const HISTORY_S: u64 = 20;

struct Change {
    at: Instant,
    key: String,
    revision: u64,
    /// The event as JSON.
    event: String,
}

#[derive(Default)]
struct StoreData {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// The changes of the last [`HISTORY_S`] seconds.
    changes: VecDeque<Change>,
    /// The last revision of which the history is not there any more.
    forgotten: u64,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
    /// Answers of the first write of each key with this prefix are lost, and the write is done later.
    lost_prefix: Option<(String, Duration, Instant)>,
    lost_keys: Vec<String>,
    /// Write calls, and those of them without an answer, while answers are lost.
    writes: u64,
    lost: u64,
}

impl StoreData {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.note(key, item.json(key) + "}");
        self.items.insert(key.to_owned(), item);
    }

    fn note(&mut self, key: &str, event: String) {
        let (key, revision, at) = (key.to_owned(), self.revision, Instant::now());
        self.changes.push_back(Change {
            at,
            key,
            revision,
            event,
        });
        let limit = Duration::from_secs(HISTORY_S);
        while self
            .changes
            .front()
            .is_some_and(|oldest| oldest.at.elapsed() > limit)
        {
            let oldest = self.changes.pop_front();
            self.forgotten = oldest.map_or(self.forgotten, |oldest| oldest.revision);
        }
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            let event = format!(
                "{{\"key\":{},\"revision\":{revision},\"removed\":true}}",
                quote(key)
            );
            self.note(key, event);
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let of_lease = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = of_lease.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        keys.iter().for_each(|key| self.remove(key));
        true
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, end))| now >= *end);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    /// Carries out a transaction. Returns the status and the body.
    fn txn(&mut self, call: &Json) -> (u16, String) {
        let expected = call.get("expected").list();
        let holds = expected.iter().all(|row| {
            let present = self.items.get(row.get("key").text());
            present.map_or(0, |item| item.revision) == row.get("revision").number()
        });
        if !holds {
            let rows = expected.iter().filter_map(|row| {
                let key = row.get("key").text();
                Some(self.items.get(key)?.json(key) + "}")
            });
            let items: Vec<String> = rows.collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let puts = call.get("puts").list();
        let lacks = |row: &&Json| {
            let lease = row.get("lease").number();
            lease != 0 && !self.leases.contains_key(&lease)
        };
        if puts.iter().any(|row| lacks(&row)) {
            return (404, "{}".into());
        }
        self.revision += 1;
        for row in puts {
            let (key, lease) = (row.get("key").text(), row.get("lease").number());
            self.put(key, unbase64(row.get("value").text()), lease);
        }
        for key in call.get("remove").list() {
            self.remove(key.text());
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}

#[derive(Clone)]
struct Store {
    data: Arc<(Mutex<StoreData>, Condvar)>,
    address: SocketAddr,
    log: Log,
}

impl Store {
    fn start(log: &Log) -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let data = StoreData {
            revision: 100,
            next_lease: 7000,
            ..StoreData::default()
        };
        let store = Store {
            data: Arc::new((Mutex::new(data), Condvar::new())),
            address,
            log: log.clone(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            expiring.change(StoreData::expire);
        });
        store
    }

    fn change<T>(&self, act: impl FnOnce(&mut StoreData) -> T) -> T {
        let mut data = self.data.0.lock().unwrap();
        let before = data.revision;
        let result = act(&mut data);
        if data.revision != before {
            self.data.1.notify_all();
        }
        result
    }

    /// Writes a key as the operator or a replica does.
    fn write(&self, key: &str, value: &str) {
        self.change(|data| {
            data.revision += 1;
            data.put(key, value.as_bytes().to_vec(), 0);
        });
    }

    fn delete(&self, key: &str) {
        self.change(|data| {
            data.revision += 1;
            data.remove(key);
        });
    }

    fn keys(&self, prefix: &str) -> Vec<String> {
        let data = self.data.0.lock().unwrap();
        let keys = data.items.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    fn serve(&self, mut stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let mut rest = Vec::new();
        while let Ok(call) = read_message(&mut stream, &mut rest) {
            let Some((status, body)) = self.handle(&call) else {
                // The answer is lost, and nothing more comes on this connection.
                thread::sleep(Duration::from_secs(60));
                return;
            };
            let kind = [("Content-Type", "application/json")];
            if stream
                .write_all(&answer(status, &kind, body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn handle(&self, call: &Message) -> Option<(u16, String)> {
        let path = call.path();
        if let Some(lease) = path.strip_prefix("/api/kv-keep/") {
            let lease: u64 = lease.parse().unwrap_or(0);
            return Some(self.change(|data| match data.leases.get_mut(&lease) {
                Some((ttl, end)) => {
                    *end = Instant::now() + *ttl;
                    (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                }
                None => (404, "{}".into()),
            }));
        }
        if let Some(lease) = path.strip_prefix("/api/kv-lease-end/") {
            let lease: u64 = lease.parse().unwrap_or(0);
            return Some(self.change(|data| match data.end_lease(lease) {
                true => (200, "{}".into()),
                false => (404, "{}".into()),
            }));
        }
        Some(match path {
            "/api/kv-key" => {
                let (key, data) = (call.query("key"), self.data.0.lock().unwrap());
                match data.items.get(&key) {
                    Some(item) => {
                        let revision = data.revision;
                        (
                            200,
                            format!("{},\"store_revision\":{revision}}}", item.json(&key)),
                        )
                    }
                    None => (404, format!("{{\"store_revision\":{}}}", data.revision)),
                }
            }
            "/api/kv-range" => {
                let (prefix, after) = (call.query("prefix"), call.query("after"));
                let data = self.data.0.lock().unwrap();
                let fits = |key: &str| key.starts_with(&prefix) && key > after.as_str();
                let items = data.items.iter().filter(|(key, _)| fits(key));
                let items: Vec<String> = items.map(|(key, item)| item.json(key) + "}").collect();
                let revision = data.revision;
                (
                    200,
                    format!(
                        "{{\"items\":[{}],\"truncated\":false,\"store_revision\":{revision}}}",
                        items.join(",")
                    ),
                )
            }
            "/api/kv-watch" => self.watch(call),
            "/api/kv-lease" => self.change(|data| {
                data.writes += 1;
                let ttl_ms = Json::parse(&call.body).get("ttl_ms").number().max(1_000);
                data.next_lease += 1;
                let (lease, ttl) = (data.next_lease, Duration::from_millis(ttl_ms));
                data.leases.insert(lease, (ttl, Instant::now() + ttl));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}"))
            }),
            "/api/kv-txn" => return self.txn(call),
            _ => (404, "{}".into()),
        })
    }

    fn txn(&self, call: &Message) -> Option<(u16, String)> {
        let call = Json::parse(&call.body);
        let puts = call.get("puts").list();
        let key = puts
            .first()
            .map_or("", |row| row.get("key").text())
            .to_owned();
        let late = self.change(|data| {
            data.writes += 1;
            let (prefix, late, until) = data.lost_prefix.clone()?;
            let is_lost = Instant::now() < until
                && key.starts_with(&prefix)
                && !data.lost_keys.contains(&key);
            if is_lost {
                data.lost += 1;
                data.lost_keys.push(key.clone());
            }
            is_lost.then_some(late)
        });
        let Some(late) = late else {
            return Some(self.change(|data| data.txn(&call)));
        };
        self.log.line(&format!(
            "store: no answer to the write of {key}, done {late:?} later"
        ));
        let (store, log) = (self.clone(), self.log.clone());
        thread::spawn(move || {
            thread::sleep(late);
            let (status, body) = store.change(|data| data.txn(&call));
            log.line(&format!(
                "store: the late write of {key} ends as {status} {body}"
            ));
        });
        None
    }

    fn watch(&self, call: &Message) -> (u16, String) {
        let prefix = call.query("prefix");
        let after: u64 = call.query("after").parse().unwrap_or(0);
        let wait_ms: u64 = call.query("wait_ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut data = self.data.0.lock().unwrap();
        loop {
            if after < data.forgotten {
                return (410, "{}".into());
            }
            let of_prefix = data
                .changes
                .iter()
                .rev()
                .take_while(|change| change.revision > after)
                .filter(|change| change.key.starts_with(&prefix));
            let mut events: Vec<&str> = of_prefix.map(|change| change.event.as_str()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                events.reverse();
                let revision = data.revision;
                let body = format!(
                    "{{\"events\":[{}],\"store_revision\":{revision}}}",
                    events.join(",")
                );
                return (200, body);
            }
            data = self.data.1.wait_timeout(data, left).unwrap().0;
        }
    }
}

// ---------------------------------------------------------------- the record

#[derive(Clone)]
struct Log(Arc<(Mutex<Vec<String>>, Instant)>);

impl Log {
    fn new() -> Log {
        Log(Arc::new((Mutex::new(Vec::new()), Instant::now())))
    }

    fn now(&self) -> f64 {
        self.0 .1.elapsed().as_secs_f64()
    }

    fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}", self.now());
        println!("{line}");
        self.0 .0.lock().unwrap().push(line);
    }

    /// A line of the record that is not shown.
    fn quiet(&self, text: &str) {
        let line = format!("{:8.3} {text}", self.now());
        self.0 .0.lock().unwrap().push(line);
    }

    fn write(&self, folder: &str) {
        let lines = self.0 .0.lock().unwrap().join("\n");
        std::fs::write(format!("{folder}/record.txt"), lines + "\n").ok();
    }
}

// ---------------------------------------------------------------- gateways

/// The settings that the deploy file takes from a site.
#[derive(Clone, Copy)]
struct Site {
    leave_bound_ms: &'static str,
    budget_extra: &'static str,
    memory_mb: &'static str,
    descriptors: &'static str,
}

const CFCA_LYNX: Site = Site {
    leave_bound_ms: "2000",
    budget_extra: "202",
    memory_mb: "260",
    descriptors: "4100",
};
const KJSN_JADUAL_GROWN: Site = Site {
    leave_bound_ms: "3000",
    budget_extra: "372",
    memory_mb: "112",
    descriptors: "2870",
};

struct Gateway {
    site: Site,
    name: String,
    zone: String,
    store: SocketAddr,
    logs: String,
    front: SocketAddr,
    ready: SocketAddr,
    mail: SocketAddr,
    child: Child,
}

impl Gateway {
    fn start(site: Site, number: usize, store: SocketAddr, zone: &str, logs: &str) -> Gateway {
        let free = || {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            listener.local_addr().expect("an address")
        };
        let (front, ready, mail) = (free(), free(), free());
        let name = format!("edge-{zone}-{number}");
        let child = Gateway::spawn(site, &name, zone, store, [front, ready, mail], logs);
        let (zone, logs) = (zone.to_owned(), logs.to_owned());
        Gateway {
            site,
            name,
            zone,
            store,
            logs,
            front,
            ready,
            mail,
            child,
        }
    }

    fn spawn(
        site: Site,
        name: &str,
        zone: &str,
        store: SocketAddr,
        [front, ready, mail]: [SocketAddr; 3],
        logs: &str,
    ) -> Child {
        let path = format!("{logs}/{name}.log");
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(path);
        let log = log.expect("a log file");
        let mut command = Command::new("target/release/lynxcart");
        command.arg("gateway").args(["--name", name]);
        command.args(["--front-address", &front.to_string()]);
        command.args(["--ready-address", &ready.to_string()]);
        command.args(["--mail-address", &mail.to_string()]);
        command.args(["--platform", &store.to_string(), "--failure-domain", zone]);
        command.args(["--drain-limit-ms", "8s"]);
        let keep: Vec<(String, String)> = ["PATH", "HOME", "LANG"]
            .iter()
            .filter_map(|name| Some((name.to_string(), std::env::var(name).ok()?)))
            .collect();
        command.env_clear().envs(keep).envs([
            ("LYNXCART_KEYS", "change-me-for-each-installation"),
            ("LYNXCART_REVOKE_MS", "5000"),
            ("LYNXCART_LEAVE_BOUND_MS", site.leave_bound_ms),
            ("LYNXCART_BUDGET_WINDOW_MS", "10s"),
            ("LYNXCART_BUDGET_RATIO", "0.2"),
            ("LYNXCART_BUDGET_EXTRA", site.budget_extra),
            ("LYNXCART_MEMORY_MB", site.memory_mb),
            ("LYNXCART_DESCRIPTORS", site.descriptors),
            ("LYNXCART_LOG", "info"),
        ]);
        command
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null());
        command
            .spawn()
            .expect("target/release/lynxcart should start")
    }

    /// Stops the process as the platform does, and starts it again. Returns how long it took to stop,
    /// seconds.
    fn stop_and_start(&mut self) -> f64 {
        let began = Instant::now();
        let id = self.child.id().to_string();
        Command::new("kill").args(["-TERM", &id]).status().ok();
        while matches!(self.child.try_wait(), Ok(None)) {
            if began.elapsed() > Duration::from_secs(8) {
                self.child.kill().ok();
            }
            thread::sleep(Duration::from_millis(20));
        }
        let took = began.elapsed().as_secs_f64();
        let addresses = [self.front, self.ready, self.mail];
        self.child = Gateway::spawn(
            self.site, &self.name, &self.zone, self.store, addresses, &self.logs,
        );
        wait_until_ready(std::slice::from_ref(self));
        took
    }

    fn is_ready(&self) -> bool {
        let call = "GET /api/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        matches!(exchange(self.ready, call.as_bytes(), 1_000), Ok(answer) if answer.status() == 200)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

fn wait_until_ready(gateways: &[Gateway]) {
    let end = Instant::now() + Duration::from_secs(20);
    while !gateways.iter().all(Gateway::is_ready) {
        assert!(Instant::now() < end, "the gateways are not ready");
        thread::sleep(Duration::from_millis(50));
    }
}

/// Sends a call on a new connection and reads the answer.
fn exchange(to: SocketAddr, call: &[u8], timeout_ms: u64) -> Result<Message, NoMessage> {
    let limit = Duration::from_millis(timeout_ms);
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1));
    let mut stream = stream.map_err(|_| NoMessage::Closed)?;
    stream.set_nodelay(true).ok();
    stream.set_read_timeout(Some(limit)).ok();
    stream.write_all(call).map_err(|_| NoMessage::Closed)?;
    read_message(&mut stream, &mut Vec::new())
}

fn client_call(method: &str, path: &str, id: &str, deadline_ms: u64, body: &str) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: case.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\nX-Api-Key: n2ctnfzs989anu6wsjnb\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

// ---------------------------------------------------------------- links

/// A machine's link to the store: a proxy that passes on so many bits a second each way.
fn start_link(to: SocketAddr, mbit_per_s: f64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    // When each direction of the link is free again.
    let free: [Arc<Mutex<Instant>>; 2] = [Instant::now(); 2].map(|at| Arc::new(Mutex::new(at)));
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(to) else {
                continue;
            };
            near.set_nodelay(true).ok();
            far.set_nodelay(true).ok();
            let ways = [
                (near.try_clone(), far.try_clone()),
                (far.try_clone(), near.try_clone()),
            ];
            for ((from, into), free) in ways.into_iter().zip(&free) {
                let (Ok(from), Ok(into), free) = (from, into, Arc::clone(free)) else {
                    continue;
                };
                thread::spawn(move || pass_on(from, into, &free, mbit_per_s));
            }
        }
    });
    address
}

fn pass_on(mut from: TcpStream, mut into: TcpStream, free: &Mutex<Instant>, mbit_per_s: f64) {
    let mut buffer = [0; 4_096];
    while let Ok(len @ 1..) = from.read(&mut buffer) {
        let until = {
            let mut free = free.lock().unwrap();
            let took = Duration::from_secs_f64(len as f64 * 8.0 / (mbit_per_s * 1e6));
            *free = (*free).max(Instant::now()) + took;
            *free
        };
        thread::sleep(until.saturating_duration_since(Instant::now()));
        if into.write_all(&buffer[..len]).is_err() {
            break;
        }
    }
    from.shutdown(Shutdown::Both).ok();
    into.shutdown(Shutdown::Both).ok();
}

// ---------------------------------------------------------------- replicas of a plain service

/// A request that reached a replica.
#[derive(Clone, Debug)]
struct Arrival {
    at: f64,
    id: String,
    path: String,
    replica: usize,
}

#[derive(Default)]
struct ReplicaLife {
    /// Number of the present life; odd while it is up.
    number: u64,
    open: Vec<TcpStream>,
}

/// One replica: an address at which one life follows the other.
#[derive(Clone)]
struct Replica {
    number: usize,
    address: SocketAddr,
    zone: String,
    service: &'static str,
    life: Arc<Mutex<ReplicaLife>>,
    store: Store,
    log: Log,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    /// Times of crashes under the deadly request.
    crashes: Arc<Mutex<Vec<f64>>>,
}

const HEARTBEAT_MS: u64 = 1_200;
const BACK_MS: u64 = 3_000;

fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis())
}

impl Replica {
    fn id(&self, life: u64) -> String {
        format!("i-{:02x}{life:04x}7f3a", self.number)
    }

    /// Begins a life.
    fn begin(&self) {
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(20)),
            }
        };
        listener.set_nonblocking(true).ok();
        let life = {
            let mut life = self.life.lock().unwrap();
            life.number += 1;
            life.number
        };
        let (accepting, born) = (self.clone(), unix_ms());
        thread::spawn(move || {
            while accepting.is_in(life) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).ok();
                        let kept = stream.try_clone().ok();
                        accepting.life.lock().unwrap().open.extend(kept);
                        let replica = accepting.clone();
                        thread::spawn(move || replica.serve(stream, life));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        let beating = self.clone();
        thread::spawn(move || {
            let mut sequence = 0;
            while beating.is_in(life) {
                sequence += 1;
                let entry = format!(
                    "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                     \"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\
                     \"born\":{born}}}",
                    beating.service, beating.address, beating.zone
                );
                let key = format!("servers/{}", beating.id(life));
                beating.store.write(&key, &entry);
                thread::sleep(Duration::from_millis(HEARTBEAT_MS));
            }
            // The entry goes after three intervals of silence.
            thread::sleep(Duration::from_millis(2 * HEARTBEAT_MS));
            beating
                .store
                .delete(&format!("servers/{}", beating.id(life)));
        });
    }

    fn is_in(&self, life: u64) -> bool {
        self.life.lock().unwrap().number == life
    }

    /// Ends the present life with all its connections, and begins another some seconds later.
    fn crash(&self) {
        let open = {
            let mut life = self.life.lock().unwrap();
            life.number += 1;
            std::mem::take(&mut life.open)
        };
        for stream in open {
            reset(&stream);
        }
        let replica = self.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(BACK_MS));
            replica.begin();
        });
    }

    fn serve(&self, mut stream: TcpStream, life: u64) {
        stream.set_nodelay(true).ok();
        let mut rest = Vec::new();
        while let Ok(request) = read_message(&mut stream, &mut rest) {
            if !self.is_in(life) {
                return;
            }
            let id = self.id(life);
            let attempt = request.header("x-attempt-id").to_owned();
            let stamp = format!("3e1b.{:02x}.{attempt}", self.number);
            let expected = request.header("x-expect-replica");
            let bytes = if !expected.is_empty() && expected != id {
                answer(421, &[("X-Replica-Id", &id)], b"")
            } else if request.path() == "/healthz" {
                answer(200, &[("X-Replica-Id", &id)], b"")
            } else if request.path() == "/api/report" {
                answer(
                    200,
                    &[("Content-Type", "application/json")],
                    b"{\"stage\":\"both\",\"sequence\":0}",
                )
            } else {
                let arrival = Arrival {
                    at: self.log.now(),
                    id: attempt.clone(),
                    path: request.path().to_owned(),
                    replica: self.number,
                };
                self.arrivals.lock().unwrap().push(arrival);
                thread::sleep(Duration::from_millis(30));
                if !self.is_in(life) {
                    return;
                }
                if request.body.starts_with(b"deadly") {
                    self.log.line(&format!(
                        "replica {} runs {attempt} and crashes",
                        self.number
                    ));
                    self.crashes.lock().unwrap().push(self.log.now());
                    self.crash();
                    return;
                }
                let headers = [
                    ("X-Attempt-Id", attempt.as_str()),
                    ("X-Replica-Stamp", stamp.as_str()),
                ];
                answer(200, &headers, format!("done {attempt}").as_bytes())
            };
            if stream.write_all(&bytes).is_err() {
                return;
            }
        }
    }
}

/// Ends a connection as the crash of its process does.
fn reset(stream: &TcpStream) {
    stream.shutdown(Shutdown::Both).ok();
}

fn start_replicas(services: &[&'static str], store: &Store, log: &Log) -> Vec<Replica> {
    let (arrivals, crashes) = (Arc::default(), Arc::default());
    let mut replicas = Vec::new();
    for (number, service) in services.iter().enumerate() {
        let address = {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            listener.local_addr().expect("an address")
        };
        replicas.push(Replica {
            number,
            address,
            zone: ["a", "b", "c"][number % 3].to_owned(),
            service,
            life: Arc::default(),
            store: store.clone(),
            log: log.clone(),
            arrivals: Arc::clone(&arrivals),
            crashes: Arc::clone(&crashes),
        });
    }
    replicas.iter().for_each(Replica::begin);
    replicas
}

/// A route of the manifest.
fn route(name: &str, kind: &str, service: &str, attempts: u64, is_anonymous: bool) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"case.example\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
         \"timeout_ms\":4000,\"aim_ms\":300,\"priority\":2,\"service\":\"{service}\",\
         \"max_attempts\":{attempts},\"anonymous\":{is_anonymous},\"sticky\":false,\"resumable\":false}}"
    )
}

/// The manifest with a route whose requests run at most once, one whose requests may repeat, and
/// others.
fn manifest(version: u64, others: &[String]) -> String {
    let mut routes = vec![
        route("issue", "non_idempotent", "desk", 1, false),
        route("lookup", "idempotent", "desk", 2, false),
    ];
    routes.extend_from_slice(others);
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_connections\":110,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{},{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"n2ctnfzs989anu6wsjnb\"],\"priority\":1}}]}}",
        routes.join(","),
        service("desk"),
        service("annex")
    )
}

// ---------------------------------------------------------------- cases

const CONTACT_S: f64 = 3.0;

/// Case 6: the store loses the answers of some writes while the gateways start, and does them late.
/// Long after, a request comes that crashes each replica which runs it.
fn lost_registration(is_troubled: bool, log: &Log, logs: &str) -> bool {
    let store = Store::start(log);
    store.write("op/config", &manifest(7, &[]));
    let replicas = start_replicas(&["desk"; 6], &store, log);
    if is_troubled {
        let until = Instant::now() + Duration::from_millis(4_500);
        let prefix = "lynxcart/gateways/".to_owned();
        store.change(|data| data.lost_prefix = Some((prefix, Duration::from_secs(4), until)));
    }
    let zones = ["a", "a", "b", "c"];
    let gateways = zones.iter().enumerate();
    let gateways: Vec<Gateway> = gateways
        .map(|(number, zone)| Gateway::start(CFCA_LYNX, number, store.address, zone, logs))
        .collect();
    wait_until_ready(&gateways);
    log.line("all gateways are ready");
    thread::sleep(Duration::from_millis(4_500));
    {
        let data = store.data.0.lock().unwrap();
        log.line(&format!(
            "store: {} of the first {} writes lost their answers",
            data.lost, data.writes
        ));
    }
    thread::sleep(Duration::from_secs(14));
    log.line(&format!(
        "store: registered gateways {:?}",
        store.keys("lynxcart/gateways/")
    ));
    // Other callers, all the while.
    let is_over = Arc::new(Mutex::new(false));
    let others = Arc::new(Mutex::new(BTreeMap::<String, u64>::new()));
    let fronts: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.front).collect();
    let callers: Vec<_> = (0..8_usize)
        .map(|caller| {
            let (is_over, others) = (Arc::clone(&is_over), Arc::clone(&others));
            let (fronts, log) = (fronts.clone(), log.clone());
            thread::spawn(move || {
                let mut number = 0;
                while !*is_over.lock().unwrap() {
                    number += 1;
                    let id = format!("other-{caller}-{number}");
                    let call = client_call("POST", "/issue/transfer", &id, 1_000, &id);
                    let result = exchange(fronts[(caller + number) % fronts.len()], &call, 3_000);
                    let text = match result {
                        Ok(answer) => answer.status().to_string(),
                        Err(why) => format!("{why:?}"),
                    };
                    if text != "200" {
                        log.quiet(&format!("{id}: {text}"));
                    }
                    *others.lock().unwrap().entry(text).or_default() += 1;
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    // The deadly request comes again and again, at one machine after the other.
    let mut sent = 0;
    let mut send = || {
        let gateway = &gateways[sent % gateways.len()];
        sent += 1;
        let id = format!("deadly-{sent}");
        let call = client_call("POST", "/issue/record-17", &id, 4_000, "deadly record 17");
        let result = exchange(gateway.front, &call, 6_000);
        let text = result.map_or_else(
            |why| format!("{why:?}"),
            |answer| answer.status().to_string(),
        );
        log.line(&format!("{id} to {}: {text}", gateway.name));
    };
    for _ in 0..3 {
        send();
        thread::sleep(Duration::from_millis(1_300));
    }
    thread::sleep(Duration::from_millis(3_000));
    for _ in 0..10 {
        send();
        thread::sleep(Duration::from_millis(1_300));
    }
    *is_over.lock().unwrap() = true;
    for caller in callers {
        caller.join().ok();
    }
    log.line(&format!(
        "other callers' answers: {:?}",
        others.lock().unwrap()
    ));
    judge_deadly(&replicas[0], log)
}

/// Whether the deadly request reached replicas in more than three retries, later than `contact_ms` after
/// it had crashed the third.
fn judge_deadly(replica: &Replica, log: &Log) -> bool {
    let crashes = replica.crashes.lock().unwrap().clone();
    let third = crashes.get(2).copied();
    let arrivals = replica.arrivals.lock().unwrap().clone();
    for arrival in arrivals
        .iter()
        .filter(|arrival| arrival.id.starts_with("deadly"))
    {
        let Arrival {
            at,
            id,
            path,
            replica,
        } = arrival;
        log.quiet(&format!(
            "arrival: {id} {path} at replica {replica} at {at:.3}"
        ));
    }
    let late = arrivals.iter().filter(|arrival| {
        let is_late = third.is_some_and(|third| arrival.at > third + CONTACT_S);
        arrival.id.starts_with("deadly") && is_late
    });
    let late = late.count();
    log.line(&format!(
        "{} crashes, the third at {third:?}",
        crashes.len()
    ));
    log.line(&format!(
        "{late} retries reached replicas later than 3 s after that; 3 are allowed"
    ));
    assert!(third.is_some(), "the request did not crash three replicas");
    late > 3
}

/// Case 8: the gateways are stopped and started in turn, twice, while a request comes from time to time
/// that crashes each replica which runs it.
fn rolling_restarts(is_troubled: bool, log: &Log, logs: &str) -> bool {
    let store = Store::start(log);
    store.write("op/config", &manifest(7, &[]));
    let replicas = start_replicas(&["desk"; 6], &store, log);
    let zones = ["a", "b", "c"].iter().enumerate();
    let mut gateways: Vec<Gateway> = zones
        .map(|(number, zone)| Gateway::start(CFCA_LYNX, number, store.address, zone, logs))
        .collect();
    wait_until_ready(&gateways);
    log.line("all gateways are ready");
    thread::sleep(Duration::from_secs(5));
    let mut sent = 0;
    for round in 0..3 {
        // No gateway was stopped or started in the last `contact_ms` when it gets the request. One that
        // was refused comes again, since it met a replica that had just gone.
        let crashes = || replicas[0].crashes.lock().unwrap().len();
        let (before, requests) = (crashes(), if round < 2 { 4 } else { 6 });
        for _ in 0..requests {
            if round < 2 && crashes() >= before + 2 {
                break;
            }
            let gateway = &gateways[sent % gateways.len()];
            sent += 1;
            let id = format!("deadly-{sent}");
            let call = client_call("POST", "/issue/record-17", &id, 4_000, "deadly record 17");
            let result = exchange(gateway.front, &call, 6_000);
            let text = result.map_or_else(
                |why| format!("{why:?}"),
                |answer| answer.status().to_string(),
            );
            log.line(&format!("{id} to {}: {text}", gateway.name));
            thread::sleep(Duration::from_millis(3_300));
        }
        if round < 2 {
            for gateway in &mut gateways {
                if is_troubled {
                    let took = gateway.stop_and_start();
                    log.line(&format!(
                        "{} was stopped in {took:.1} s and started",
                        gateway.name
                    ));
                }
                thread::sleep(Duration::from_millis(1_300));
            }
            thread::sleep(Duration::from_millis(4_000));
        }
    }
    judge_deadly(&replicas[0], log)
}

/// Case 7: manifests come in quick succession after the manifest has grown. One gateway's link is the
/// smallest of the users' sheet.
fn manifest_storm(is_troubled: bool, log: &Log, logs: &str) -> bool {
    const CONFIG_S: f64 = 3.0;
    let store = Store::start(log);
    let idle =
        (0..1_648).map(|number| route(&format!("idle-{number}"), "idempotent", "desk", 2, false));
    let mut others: Vec<String> = idle.collect();
    others.push(route("moved", "idempotent", "desk", 2, true));
    let first = manifest(7, &others);
    log.line(&format!(
        "the manifest has {} routes and {} bytes",
        others.len() + 2,
        first.len()
    ));
    store.write("op/config", &first);
    let replicas = start_replicas(
        &["desk", "desk", "desk", "annex", "annex", "annex"],
        &store,
        log,
    );
    let links = [
        start_link(store.address, 200.0),
        start_link(store.address, 14.0),
    ];
    let gateways: Vec<Gateway> = (0..2)
        .map(|number| Gateway::start(KJSN_JADUAL_GROWN, number, links[number], "a", logs))
        .collect();
    wait_until_ready(&gateways);
    log.line("all gateways are ready; edge-a-1 has a link of 14 Mbit/s");
    thread::sleep(Duration::from_secs(6));
    // The last change moves a route and adds one.
    let changes = if is_troubled { 25 } else { 1 };
    for change in 0..changes {
        others.push(route(
            &format!("new-{change}"),
            "idempotent",
            "desk",
            2,
            false,
        ));
        if change + 1 == changes {
            let moved = others.iter_mut().find(|text| text.contains("\"/moved/\""));
            *moved.expect("the route") = route("moved", "idempotent", "annex", 2, true);
        }
        store.write("op/config", &manifest(10 + 3 * change, &others));
        thread::sleep(Duration::from_millis(80));
    }
    let acked = log.now() - 0.08;
    log.line(&format!(
        "{changes} manifests were acknowledged, the last at {acked:.3}"
    ));
    let added = format!("/new-{}/x", changes - 1);
    let mut wrong = 0;
    for number in 0..120 {
        thread::sleep(Duration::from_millis(200));
        for gateway in &gateways {
            let is_ready = gateway.is_ready();
            for path in [added.as_str(), "/moved/x"] {
                let id = format!("{}-{number}{}", gateway.name, path.replace('/', "-"));
                let sent = log.now();
                let call = client_call("GET", path, &id, 1_000, "");
                let status =
                    exchange(gateway.front, &call, 3_000).map_or(0, |answer| answer.status());
                let arrivals = replicas[0].arrivals.lock().unwrap();
                let ran = arrivals.iter().find(|arrival| arrival.id == id);
                let service = ran.map_or("none", |arrival| replicas[arrival.replica].service);
                let is_old = status == 404 || path == "/moved/x" && service == "desk";
                let is_wrong = is_old && sent > acked + CONFIG_S;
                wrong += u32::from(is_wrong);
                log.quiet(&format!(
                    "{id}: sent {:.3} s after the ack, status {status}, run by {service}, ready {is_ready}{}",
                    sent - acked,
                    if is_wrong { ", as only an older manifest allows" } else { "" }
                ));
            }
        }
    }
    log.line(&format!(
        "{wrong} requests sent later than 3 s after the ack were handled as only an older manifest allows"
    ));
    wrong > 0
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (case, folder) = (arguments[1].as_str(), arguments[2].as_str());
    let is_troubled = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let log = Log::new();
    let logs = std::env::temp_dir().join(format!("lynxcart-review-{}", std::process::id()));
    let logs = logs.to_string_lossy().into_owned();
    std::fs::create_dir_all(&logs).expect("a temporary folder");
    log.line(&format!("case {case}, trouble {is_troubled}"));
    // What a case has started ends with it, also if it panics since it could not run.
    let result = std::panic::catch_unwind(|| match case {
        "lost-registration" => lost_registration(is_troubled, &log, &logs),
        "rolling-restarts" => rolling_restarts(is_troubled, &log, &logs),
        "manifest-storm" => manifest_storm(is_troubled, &log, &logs),
        other => panic!("no case {other}"),
    });
    let (code, text) = match result {
        Ok(true) => (1, "the rule was broken"),
        Ok(false) => (0, "the rule held"),
        Err(_) => (2, "the case could not run"),
    };
    log.line(text);
    log.write(folder);
    if std::env::var("KEEP_LOGS").is_err() {
        std::fs::remove_dir_all(&logs).ok();
    }
    std::process::exit(code);
}
