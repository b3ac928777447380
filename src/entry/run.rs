//! Runs [`EntryState`]: threads for messages, HTTP, the platform and signals feed the state thread
//! through one bounded queue.

use std::collections::HashMap;
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
use crate::event::{EventKind, PendingEvent};
use crate::fetch;
use crate::messaging::{self, MessageSender, MessagingEvent};
use crate::process::{
    on_shutdown_signal, spawn_thread, ProcessContext, ShutdownStep, ShutdownTracker, FLUSH_MS,
};
use crate::profile::CONFIG_PREFIX;
use crate::store::etcd::EtcdStore;
use crate::store::{prefix_end, PlatformItem, PlatformRequest, PlatformResponse, PlatformStore};
use crate::wire::gen::ConfigItem;
use crate::wire::RequestKey;

/// Maximum number of inputs queued for the state thread.
const INPUT_QUEUE_CAPACITY: usize = 8_192;
/// Maximum time that the state thread waits for an input, in milliseconds.
const MAX_SLEEP_MS: u64 = 1_000;
/// Time at the end of a graceful shutdown in which the requests in flight are answered, in
/// milliseconds. It covers the wait for the agents' replies to cancellations.
const ENDING_MS: u64 = 400;
/// Pause before a failed read of the platform is retried, in milliseconds.
const READ_RETRY_MS: u64 = 500;
/// Time after which a watch is ended and the configuration read again, in milliseconds.
const WATCH_TIMEOUT_MS: u64 = 30_000;
/// Interval between reads of the platform's list of VMs, in milliseconds.
const VM_LIST_INTERVAL_MS: u64 = 2_000;

/// Element of the queue that the state thread reads.
#[derive(Debug)]
pub enum QueuedInput {
    /// An input of the state machine.
    Input(EntryInput),
    /// A caller's request and the channel for its answer.
    Caller(CallerRequest, mpsc::Sender<AnswerEvent>),
    /// A query of the state and the channel for its JSON result.
    Query(EntryQuery, oneshot::Sender<Value>),
}

/// A query of the state of an entry by operators or the load balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryQuery {
    /// Whether the entry accepts requests.
    Ready,
    /// Summary of the configuration, peers and load.
    Status,
    /// The replicas known from heartbeats.
    Members,
    /// The accepted profiles with their revisions.
    Profiles,
}

impl From<MessagingEvent> for QueuedInput {
    fn from(event: MessagingEvent) -> QueuedInput {
        QueuedInput::Input(EntryInput::Message(event))
    }
}

/// Channels and other handles through which the state thread executes outputs.
struct EntryIo {
    message_sender: MessageSender<QueuedInput>,
    /// Channels for the answers of the requests in flight.
    answer_senders: HashMap<RequestKey, mpsc::Sender<AnswerEvent>>,
    /// Tells the platform thread whether it must read the configuration.
    config_reader: watch::Sender<bool>,
    context: ProcessContext,
}

/// Runs an entry until a signal shuts it down. Returns the exit code.
///
/// # Errors
///
/// If an address cannot be listened on or a thread cannot be started.
pub fn run(config: EntryConfig) -> eyre::Result<i32> {
    let context = ProcessContext::new(&config.message_address.to_string(), config.keys.clone())?;
    let (input_queue, queued_inputs) = bounded(INPUT_QUEUE_CAPACITY);
    let (config_reader, reader_changes) = watch::channel(false);
    http::start(&config, &context, input_queue.clone())?;
    start_platform_thread(&config, input_queue.clone(), reader_changes)?;
    messaging::listen(&context.identity, input_queue.clone())?;
    let stop = input_queue.clone();
    on_shutdown_signal(move |_| {
        let _ = stop.send(QueuedInput::Input(EntryInput::Drain));
    })?;
    let state = EntryState::new(EntrySetup {
        address: config.message_address.to_string(),
        seeds: config.entries.iter().map(ToString::to_string).collect(),
        rng_seed: rand::random(),
    });
    let io = EntryIo {
        message_sender: MessageSender::new(context.identity.clone(), input_queue),
        answer_senders: HashMap::new(),
        config_reader,
        context,
    };
    io.context.events.record(PendingEvent::new(
        EventKind::ProcessStarted,
        "",
        "role=entry",
    ));
    run_state(state, io, &queued_inputs, config.drain_limit_ms)
}

/// The loop of the state thread, which owns the [`EntryState`] and handles one queued input at a
/// time. Returns the exit code.
fn run_state(
    mut state: EntryState,
    mut io: EntryIo,
    queued_inputs: &Receiver<QueuedInput>,
    drain_limit_ms: u64,
) -> eyre::Result<i32> {
    let clock = MonotonicClock::start();
    let mut shutdown = ShutdownTracker::new(drain_limit_ms, ENDING_MS);
    let mut exit: Option<(i32, ClockTime)> = None;
    loop {
        let now = clock.now();
        let wake = match exit {
            Some((_, flushed_at)) => flushed_at,
            None => shutdown.next_wake(now),
        };
        let wake = wake.min(state.next_wake());
        let sleep = wake.since(now).min(MAX_SLEEP_MS);
        let queued = match queued_inputs.recv_timeout(Duration::from_millis(sleep)) {
            Ok(queued) => queued,
            Err(RecvTimeoutError::Timeout) => QueuedInput::Input(EntryInput::Tick),
            Err(RecvTimeoutError::Disconnected) => return Err(eyre!("all I/O threads ended")),
        };
        let now = clock.now();
        if matches!(queued, QueuedInput::Input(EntryInput::Drain)) {
            shutdown.record_signal(now);
        }
        io.handle_input(&mut state, now, queued);
        // Until the last bytes are sent, callers that come late are refused.
        if let Some((code, flushed_at)) = exit {
            if now >= flushed_at {
                return Ok(code);
            }
            continue;
        }
        match shutdown.step(now, state.in_flight() == 0, state.in_flight()) {
            ShutdownStep::Continue => {}
            ShutdownStep::EndRequests => {
                let end = QueuedInput::Input(EntryInput::EndRequests);
                io.handle_input(&mut state, now, end);
            }
            ShutdownStep::Exit(code) => exit = Some((code, now + FLUSH_MS)),
        }
    }
}

impl EntryIo {
    fn handle_input(&mut self, state: &mut EntryState, now: ClockTime, queued: QueuedInput) {
        let input = match queued {
            QueuedInput::Input(input) => input,
            QueuedInput::Caller(request, sender) => {
                self.answer_senders.insert(request.request_id, sender);
                EntryInput::Caller(request)
            }
            QueuedInput::Query(query, result_sender) => {
                // The receiver may have been dropped.
                let _ = result_sender.send(query_result(state, query));
                return;
            }
        };
        if let EntryInput::CallerDisconnected(request_id) = &input {
            self.answer_senders.remove(request_id);
        }
        let mut disconnected = self.execute_outputs(state.handle(now, input));
        while let Some(request_id) = disconnected.pop() {
            let outputs = state.handle(now, EntryInput::CallerDisconnected(request_id));
            disconnected.extend(self.execute_outputs(outputs));
        }
        let metrics = &self.context.metrics;
        metrics
            .in_flight
            .set(i64::try_from(state.in_flight()).unwrap_or(i64::MAX));
        let revision = state.config().complete_to();
        metrics
            .config_revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
    }

    /// Executes outputs. Returns the requests of callers that have disconnected or read the answer
    /// too slowly.
    fn execute_outputs(&mut self, outputs: Vec<EntryOutput>) -> Vec<RequestKey> {
        let mut disconnected = Vec::new();
        for output in outputs {
            match output {
                EntryOutput::Message(message) => {
                    self.context.metrics.messages_sent.inc();
                    self.message_sender.send(message);
                }
                EntryOutput::Answer(request_id, event) => {
                    disconnected.extend(self.answer(request_id, event))
                }
                EntryOutput::Event(event) => self.context.events.record(event),
                EntryOutput::ReadConfig(config_reader) => {
                    self.config_reader.send_replace(config_reader);
                }
            }
        }
        disconnected
    }

    /// Passes a part of the answer to the caller. Returns the request if the caller has
    /// disconnected or reads the answer too slowly.
    fn answer(&mut self, request_id: RequestKey, event: AnswerEvent) -> Option<RequestKey> {
        let last = !matches!(event, AnswerEvent::Token { .. });
        let result = match &event {
            AnswerEvent::Token { .. } => {
                self.context.metrics.tokens.inc();
                None
            }
            AnswerEvent::Done { .. } | AnswerEvent::Response(_) => Some("answered"),
            AnswerEvent::Refused(refusal) => Some(refusal.reason.into()),
        };
        if let Some(result) = result {
            self.context
                .metrics
                .requests
                .with_label_values(&[result])
                .inc();
        }
        let sender = match last {
            true => self.answer_senders.remove(&request_id)?,
            false => self.answer_senders.get(&request_id)?.clone(),
        };
        match sender.try_send(event) {
            Ok(()) => None,
            Err(TrySendError::Full(_) | TrySendError::Closed(_)) => {
                self.answer_senders.remove(&request_id);
                Some(request_id)
            }
        }
    }
}

fn query_result(state: &EntryState, query: EntryQuery) -> Value {
    match query {
        EntryQuery::Ready => json!({"ready": !state.draining()}),
        EntryQuery::Status => json!({
            "config_revision": state.config().complete_to(),
            "draining": state.draining(),
            "in_flight": state.in_flight(),
            "reader": state.is_config_reader(),
            "replicas": state.members().iter().count(),
            "peers": state.peers().config_revisions(),
        }),
        EntryQuery::Members => {
            let replicas = state.members().iter().map(|(_, record)| {
                json!({
                    "name": record.heartbeat.name,
                    "mail_address": record.address,
                    "admin_address": record.heartbeat.admin_address,
                    "failure_domain": record.heartbeat.failure_domain,
                    "state": record.state.to_string(),
                    "in_flight": record.heartbeat.in_flight,
                    "limit": record.heartbeat.limit,
                    "role": describe_role(record),
                })
            });
            json!({"replicas": replicas.collect::<Vec<_>>()})
        }
        EntryQuery::Profiles => {
            let profiles = state
                .config()
                .profiles()
                .map(|(revision, record)| json!({"revision": revision, "record": record}));
            json!({"profiles": profiles.collect::<Vec<_>>()})
        }
    }
}

fn describe_role(record: &crate::member::ReplicaRecord) -> String {
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

fn start_platform_thread(
    config: &EntryConfig,
    input_queue: Sender<QueuedInput>,
    reader_changes: watch::Receiver<bool>,
) -> eyre::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let store = EtcdStore::new(config.platform_address.to_string());
    let vm_list = config.vm_list.map(|address| address.to_string());
    spawn_thread("platform", move || {
        runtime.block_on(async move {
            if let Some(address) = vm_list {
                tokio::spawn(read_vm_list(address, input_queue.clone()));
            }
            read_config(store, input_queue, reader_changes).await;
        });
    })
}

/// Reads and watches the configuration while `reader_changes` holds `true`, and queues what it
/// receives.
async fn read_config(
    store: EtcdStore,
    input_queue: Sender<QueuedInput>,
    mut reader_changes: watch::Receiver<bool>,
) {
    let range_end = prefix_end(CONFIG_PREFIX);
    while reader_changes
        .wait_for(|config_reader| *config_reader)
        .await
        .is_ok()
    {
        let request = PlatformRequest::Range {
            key: CONFIG_PREFIX.to_owned(),
            range_end: range_end.clone(),
        };
        let Ok(PlatformResponse::Range { revision, items }) = store.send(request).await else {
            tokio::time::sleep(Duration::from_millis(READ_RETRY_MS)).await;
            continue;
        };
        let _ = input_queue.send(config_input(0, revision, items));
        let mut complete_to = revision;
        let watch = store.watch(
            CONFIG_PREFIX,
            &range_end,
            revision + 1,
            |revision, items| {
                let _ = input_queue.send(config_input(complete_to, revision, items));
                complete_to = complete_to.max(revision);
            },
        );
        let stop = async {
            let _ = reader_changes
                .wait_for(|config_reader| !*config_reader)
                .await;
        };
        tokio::select! {
            result = tokio::time::timeout(Duration::from_millis(WATCH_TIMEOUT_MS), watch) => {
                if let Ok(Err(error)) = result {
                    spdlog::warn!("event=config_watch_failed error=\"{error}\"");
                    tokio::time::sleep(Duration::from_millis(READ_RETRY_MS)).await;
                }
            }
            () = stop => {}
        }
    }
}

fn config_input(after: u64, complete_to: u64, items: Vec<PlatformItem>) -> QueuedInput {
    let items = items.into_iter().map(|item| ConfigItem {
        key: item.key,
        revision: item.mod_revision,
        value: item.value,
    });
    QueuedInput::Input(EntryInput::Config {
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

/// Polls the platform's list of VMs and queues the addresses of those that are leaving.
async fn read_vm_list(address: String, input_queue: Sender<QueuedInput>) {
    let client = fetch::client();
    let url = format!("http://{address}/vms");
    loop {
        if let Ok((200, body)) = fetch::get(&client, &url).await {
            let vms: Vec<VmRecord> = serde_json::from_slice(&body).unwrap_or_default();
            let leaving = vms.into_iter().filter(|vm| vm.state == "leaving");
            let leaving: Vec<String> = leaving.map(|vm| vm.address).collect();
            if !leaving.is_empty() {
                let _ = input_queue.send(QueuedInput::Input(EntryInput::VmsLeaving(leaving)));
            }
        }
        tokio::time::sleep(Duration::from_millis(VM_LIST_INTERVAL_MS)).await;
    }
}
