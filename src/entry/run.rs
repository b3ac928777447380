//! Drives [`EntryState`]: threads for mail, callers' HTTP, the platform and signals, joined to
//! the deciding thread by one bounded ring.

use std::collections::HashMap;
use std::thread;
use std::time::Duration;

use crossbeam_channel::{bounded, Receiver, RecvTimeoutError, Sender};
use eyre::eyre;
use serde_json::{json, Value};
use tokio::runtime::Builder;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot, watch};

use crate::clock::{ClockTime, MonotonicClock};
use crate::config::EntryConfig;
use crate::entry::http;
use crate::entry::state::{EntryInput, EntrySetup, EntryState};
use crate::entry::{AnswerEvent, CallerRequest, EntryOutput};
use crate::event::{EventKind, EventNote};
use crate::fetch;
use crate::mail::{self, MailEvent, MailPost};
use crate::process::{on_stop_signal, spawn, DrainWatch, ProcessParts, FLUSH_MS};
use crate::profile::CONFIG_PREFIX;
use crate::store::etcd::EtcdStore;
use crate::store::{prefix_end, PlatformAnswer, PlatformCall, PlatformItem, PlatformStore};
use crate::wire::gen::ConfigItem;
use crate::wire::RequestKey;

/// Inputs that may wait for the deciding thread.
const RING_INPUTS: usize = 8_192;
/// Longest sleep of the deciding thread, milliseconds.
const SLEEP_MS: u64 = 1_000;
/// Pause before a failed read of the platform is tried again, milliseconds.
const READ_RETRY_MS: u64 = 500;
/// Time after which a watch is given up for a new read, milliseconds.
const WATCH_MS: u64 = 30_000;
/// Time between two looks at the platform's list of VMs, milliseconds.
const VM_LIST_MS: u64 = 2_000;

/// What reaches the deciding thread.
#[derive(Debug)]
pub enum EntryEvent {
    /// An input for the state.
    Input(EntryInput),
    /// A caller's request, and where its answer goes.
    Caller(CallerRequest, mpsc::Sender<AnswerEvent>),
    /// A question about the state.
    Ask(EntryQuestion, oneshot::Sender<Value>),
}

/// What operators and the balancer may ask of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryQuestion {
    /// Whether it takes requests.
    Ready,
    /// Its configuration, peers and load in short.
    Status,
    /// The replicas it knows.
    Members,
    /// The accepted profiles.
    Profiles,
}

impl From<MailEvent> for EntryEvent {
    fn from(event: MailEvent) -> EntryEvent {
        EntryEvent::Input(EntryInput::Mail(event))
    }
}

struct EntryEdges {
    post: MailPost<EntryEvent>,
    answers: HashMap<RequestKey, mpsc::Sender<AnswerEvent>>,
    reader: watch::Sender<bool>,
    parts: ProcessParts,
}

/// Runs an entry until it is told to stop. Returns the exit code.
///
/// # Errors
///
/// When an address cannot be listened on, or a thread cannot be started.
pub fn run(config: EntryConfig) -> eyre::Result<i32> {
    let parts = ProcessParts::start(&config.mail_address.to_string(), config.keys.clone())?;
    let (ring, events) = bounded(RING_INPUTS);
    let (reader, reading) = watch::channel(false);
    http::start(&config, &parts, ring.clone())?;
    start_platform(&config, ring.clone(), reading)?;
    mail::listen(&parts.identity, ring.clone())?;
    let stop = ring.clone();
    on_stop_signal(move |_| {
        let _ = stop.send(EntryEvent::Input(EntryInput::Drain));
    })?;
    let state = EntryState::new(EntrySetup {
        address: config.mail_address.to_string(),
        seeds: config.entries.iter().map(ToString::to_string).collect(),
        rng_seed: rand::random(),
    });
    let edges = EntryEdges {
        post: MailPost::new(parts.identity.clone(), ring),
        answers: HashMap::new(),
        reader,
        parts,
    };
    edges
        .parts
        .events
        .record(EventNote::new(EventKind::ProcessStarted, "", "role=entry"));
    decide(state, edges, &events, config.drain_limit_ms)
}

fn decide(
    mut state: EntryState,
    mut edges: EntryEdges,
    events: &Receiver<EntryEvent>,
    drain_limit_ms: u64,
) -> eyre::Result<i32> {
    let clock = MonotonicClock::start();
    let mut drain = DrainWatch::new(drain_limit_ms);
    loop {
        let sleep = state.wake().since(clock.now()).min(SLEEP_MS);
        let event = match events.recv_timeout(Duration::from_millis(sleep)) {
            Ok(event) => event,
            Err(RecvTimeoutError::Timeout) => EntryEvent::Input(EntryInput::Tick),
            Err(RecvTimeoutError::Disconnected) => return Err(eyre!("every edge has ended")),
        };
        let now = clock.now();
        if matches!(event, EntryEvent::Input(EntryInput::Drain)) {
            drain.signal(now);
        }
        edges.step(&mut state, now, event);
        if let Some(code) = drain.code(now, state.in_flight() == 0, state.in_flight()) {
            thread::sleep(Duration::from_millis(FLUSH_MS));
            return Ok(code);
        }
    }
}

impl EntryEdges {
    fn step(&mut self, state: &mut EntryState, now: ClockTime, event: EntryEvent) {
        let input = match event {
            EntryEvent::Input(input) => input,
            EntryEvent::Caller(request, answers) => {
                self.answers.insert(request.key, answers);
                EntryInput::Caller(request)
            }
            EntryEvent::Ask(question, answer) => {
                // Whoever asked may have gone.
                let _ = answer.send(answer_question(state, question));
                return;
            }
        };
        if let EntryInput::CallerGone(key) = &input {
            self.answers.remove(key);
        }
        let mut gone = self.carry_out_all(state.handle(now, input));
        while let Some(key) = gone.pop() {
            let outputs = state.handle(now, EntryInput::CallerGone(key));
            gone.extend(self.carry_out_all(outputs));
        }
        let metrics = &self.parts.metrics;
        metrics
            .in_flight
            .set(i64::try_from(state.in_flight()).unwrap_or(i64::MAX));
        let revision = state.config().complete_to();
        metrics
            .config_revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
    }

    /// Carries outputs out. Returns the requests whose callers do not read any more.
    fn carry_out_all(&mut self, outputs: Vec<EntryOutput>) -> Vec<RequestKey> {
        let mut gone = Vec::new();
        for output in outputs {
            match output {
                EntryOutput::Mail(mail) => {
                    self.parts.metrics.mail_sent.inc();
                    self.post.send(mail);
                }
                EntryOutput::Answer(key, event) => gone.extend(self.answer(key, event)),
                EntryOutput::Note(note) => self.parts.events.record(note),
                EntryOutput::Reader(reader) => {
                    self.reader.send_replace(reader);
                }
            }
        }
        gone
    }

    fn answer(&mut self, key: RequestKey, event: AnswerEvent) -> Option<RequestKey> {
        let last = !matches!(event, AnswerEvent::Token { .. });
        let result = match &event {
            AnswerEvent::Token { .. } => {
                self.parts.metrics.tokens.inc();
                None
            }
            AnswerEvent::Done { .. } | AnswerEvent::Reply(_) => Some("answered"),
            AnswerEvent::Refused(refusal) => Some(refusal.reason.into()),
        };
        if let Some(result) = result {
            self.parts
                .metrics
                .requests
                .with_label_values(&[result])
                .inc();
        }
        let sender = match last {
            true => self.answers.remove(&key)?,
            false => self.answers.get(&key)?.clone(),
        };
        match sender.try_send(event) {
            Ok(()) => None,
            Err(TrySendError::Full(_) | TrySendError::Closed(_)) => {
                self.answers.remove(&key);
                Some(key)
            }
        }
    }
}

fn answer_question(state: &EntryState, question: EntryQuestion) -> Value {
    match question {
        EntryQuestion::Ready => json!({"ready": !state.draining()}),
        EntryQuestion::Status => json!({
            "config_revision": state.config().complete_to(),
            "draining": state.draining(),
            "in_flight": state.in_flight(),
            "reader": state.reader(),
            "replicas": state.members().iter().count(),
            "peers": state.peers().revisions(),
        }),
        EntryQuestion::Members => {
            let replicas = state.members().iter().map(|(_, record)| {
                json!({
                    "name": record.heartbeat.name,
                    "mail_address": record.address,
                    "admin_address": record.heartbeat.admin_address,
                    "failure_domain": record.heartbeat.failure_domain,
                    "state": record.state.to_string(),
                    "in_flight": record.heartbeat.in_flight,
                    "limit": record.heartbeat.limit,
                    "role": role_text(record),
                })
            });
            json!({"replicas": replicas.collect::<Vec<_>>()})
        }
        EntryQuestion::Profiles => {
            let profiles = state
                .config()
                .profiles()
                .map(|(revision, record)| json!({"revision": revision, "record": record}));
            json!({"profiles": profiles.collect::<Vec<_>>()})
        }
    }
}

fn role_text(record: &crate::member::ReplicaRecord) -> String {
    use crate::wire::gen::heartbeat::Role;
    match &record.heartbeat.role {
        Some(Role::Model(role)) => {
            format!(
                "{} layers {}..{}",
                role.model, role.first_layer, role.end_layer
            )
        }
        Some(Role::Service(role)) => {
            format!("service {} partitions {:?}", role.service, role.partitions)
        }
        None => String::from("unknown"),
    }
}

fn start_platform(
    config: &EntryConfig,
    ring: Sender<EntryEvent>,
    reading: watch::Receiver<bool>,
) -> eyre::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let store = EtcdStore::new(config.platform.to_string());
    let vm_list = config.vm_list.map(|address| address.to_string());
    spawn("platform", move || {
        runtime.block_on(async move {
            if let Some(address) = vm_list {
                tokio::spawn(read_vm_list(address, ring.clone()));
            }
            read_config(store, ring, reading).await;
        });
    })
}

/// Reads and watches the configuration while this entry is one of those that do.
async fn read_config(
    store: EtcdStore,
    ring: Sender<EntryEvent>,
    mut reading: watch::Receiver<bool>,
) {
    let range_end = prefix_end(CONFIG_PREFIX);
    while reading.wait_for(|reader| *reader).await.is_ok() {
        let call = PlatformCall::Range {
            key: CONFIG_PREFIX.to_owned(),
            range_end: range_end.clone(),
        };
        let Ok(PlatformAnswer::Range { revision, items }) = store.call(call).await else {
            tokio::time::sleep(Duration::from_millis(READ_RETRY_MS)).await;
            continue;
        };
        let _ = ring.send(config_event(0, revision, items));
        let mut complete_to = revision;
        let watch = store.watch(
            CONFIG_PREFIX,
            &range_end,
            revision + 1,
            |revision, items| {
                let _ = ring.send(config_event(complete_to, revision, items));
                complete_to = complete_to.max(revision);
            },
        );
        let stop = async {
            let _ = reading.wait_for(|reader| !*reader).await;
        };
        tokio::select! {
            result = tokio::time::timeout(Duration::from_millis(WATCH_MS), watch) => {
                if let Ok(Err(error)) = result {
                    spdlog::warn!("event=watch_ended error=\"{error}\"");
                    tokio::time::sleep(Duration::from_millis(READ_RETRY_MS)).await;
                }
            }
            () = stop => {}
        }
    }
}

fn config_event(after: u64, complete_to: u64, items: Vec<PlatformItem>) -> EntryEvent {
    let items = items.into_iter().map(|item| ConfigItem {
        key: item.key,
        revision: item.mod_revision,
        value: item.value,
    });
    EntryEvent::Input(EntryInput::Config {
        after,
        complete_to,
        items: items.collect(),
    })
}

#[derive(serde::Deserialize)]
struct VmRecord {
    address: String,
    state: String,
}

async fn read_vm_list(address: String, ring: Sender<EntryEvent>) {
    let client = fetch::client();
    let url = format!("http://{address}/vms");
    loop {
        if let Ok((200, body)) = fetch::get(&client, &url).await {
            let vms: Vec<VmRecord> = serde_json::from_slice(&body).unwrap_or_default();
            let leaving = vms.into_iter().filter(|vm| vm.state == "leaving");
            let leaving: Vec<String> = leaving.map(|vm| vm.address).collect();
            if !leaving.is_empty() {
                let _ = ring.send(EntryEvent::Input(EntryInput::VmsLeaving(leaving)));
            }
        }
        tokio::time::sleep(Duration::from_millis(VM_LIST_MS)).await;
    }
}
