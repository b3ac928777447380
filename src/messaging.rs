//! Messages between processes over nng: one pull socket to receive on, one push socket per peer.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam_channel::Sender;
use eyre::{eyre, WrapErr};
use nng::options::{
    Options, ReconnectMaxTime, ReconnectMinTime, RecvBufferSize, RecvMaxSize, SendBufferSize,
};
use nng::{PipeEvent, Protocol, Socket};

use crate::wire::gen::Envelope;
use crate::wire::{FrameKeys, IncomingMessage, OutgoingMessage, MAX_FRAME_BYTES, WIRE_VERSION};

/// Maximum number of frames queued for one peer; further frames are dropped.
const SEND_QUEUE_FRAMES: i32 = 1024;
/// Maximum number of received frames queued for the receiving thread.
const RECEIVE_QUEUE_FRAMES: i32 = 1024;
/// Shortest pause before another attempt to connect to a peer.
const MIN_RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause before another attempt to connect to a peer.
const MAX_RECONNECT_PAUSE: Duration = Duration::from_millis(500);
/// Maximum number of connections to peers; the least recently used one is closed first.
const MAX_CONNECTIONS: usize = 1024;

/// The Lamport clock of one process, shared by its threads.
#[derive(Clone, Debug, Default)]
pub struct LamportClock(Arc<AtomicU64>);

impl LamportClock {
    /// Advances the clock for a local event or a message to be sent. Returns the new time.
    pub fn tick(&self) -> u64 {
        self.0.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Advances the clock beyond the time of a received message.
    pub fn observe(&self, received: u64) {
        self.0.fetch_max(received, Ordering::Relaxed);
        self.tick();
    }
}

/// An event from the message sockets.
#[derive(Clone, Debug, PartialEq)]
pub enum MessagingEvent {
    /// An authenticated message was received.
    Received(Box<IncomingMessage>),
    /// The connection to the peer with this message address was closed.
    PeerLost(String),
}

/// Identity of a process towards other processes.
#[derive(Clone, Debug)]
pub struct ProcessIdentity {
    /// Message address of the process, "ip:port".
    pub address: String,
    /// Random number chosen at each start, so that a restarted process differs from its
    /// predecessor.
    pub incarnation: u64,
    /// Keys that authenticate the frames sent and received.
    pub keys: FrameKeys,
    /// Lamport clock of the process.
    pub clock: LamportClock,
}

impl std::fmt::Debug for FrameKeys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FrameKeys(secret)")
    }
}

/// Starts the thread that receives messages and passes them to `event_queue`.
///
/// # Errors
///
/// If the address cannot be listened on or the thread cannot be started.
pub fn listen<E>(identity: &ProcessIdentity, event_queue: Sender<E>) -> eyre::Result<()>
where
    E: From<MessagingEvent> + Send + 'static,
{
    let socket = Socket::new(Protocol::Pull0).wrap_err("could not open the message socket")?;
    socket.set_opt::<RecvMaxSize>(MAX_FRAME_BYTES)?;
    socket.set_opt::<RecvBufferSize>(RECEIVE_QUEUE_FRAMES)?;
    socket
        .listen(&format!("tcp://{}", identity.address))
        .wrap_err_with(|| format!("could not listen for messages on {}", identity.address))?;
    let keys = identity.keys.clone();
    let clock = identity.clock.clone();
    thread::Builder::new()
        .name("mail".into())
        .spawn(move || receive_loop(&socket, &keys, &clock, &event_queue))
        .map_err(|error| eyre!("could not start the message thread: {error}"))?;
    Ok(())
}

fn receive_loop<E: From<MessagingEvent>>(
    socket: &Socket,
    keys: &FrameKeys,
    clock: &LamportClock,
    event_queue: &Sender<E>,
) {
    while let Ok(frame) = socket.recv() {
        match keys.open(&frame) {
            Ok(envelope) => {
                clock.observe(envelope.lamport);
                let Some(body) = envelope.body else { continue };
                let message = IncomingMessage {
                    from: envelope.sender,
                    incarnation: envelope.incarnation,
                    body,
                };
                if event_queue
                    .send(MessagingEvent::Received(Box::new(message)).into())
                    .is_err()
                {
                    return;
                }
            }
            Err(error) => spdlog::warn!("event=frame_dropped reason={error}"),
        }
    }
}

struct PeerSocket {
    socket: Socket,
    /// Value of the send counter at the latest message to the peer.
    last_used: u64,
}

/// Sends the messages of one process to other processes, over one socket for each.
pub struct MessageSender<E> {
    identity: ProcessIdentity,
    event_queue: Sender<E>,
    peers: HashMap<String, PeerSocket>,
    /// Number of messages passed to [`MessageSender::send`] so far, including dropped ones; orders
    /// the peers by last use.
    sent_count: u64,
}

impl<E> MessageSender<E>
where
    E: From<MessagingEvent> + Send + 'static,
{
    /// Creates the sender of the process `identity`. Closed connections are reported to
    /// `event_queue`.
    pub fn new(identity: ProcessIdentity, event_queue: Sender<E>) -> MessageSender<E> {
        MessageSender {
            identity,
            event_queue,
            peers: HashMap::new(),
            sent_count: 0,
        }
    }

    /// Queues a message without blocking. The message is dropped if the queue of the peer is full;
    /// delivery is not guaranteed.
    pub fn send(&mut self, message: OutgoingMessage) {
        self.sent_count += 1;
        let envelope = Envelope {
            version: WIRE_VERSION,
            sender: self.identity.address.clone(),
            incarnation: self.identity.incarnation,
            lamport: self.identity.clock.tick(),
            body: Some(message.body),
        };
        let frame = self.identity.keys.seal(&envelope);
        let sent_count = self.sent_count;
        match self.peer(&message.to) {
            Ok(peer) => {
                peer.last_used = sent_count;
                if let Err((_, error)) = peer.socket.try_send(frame.as_slice()) {
                    spdlog::warn!("event=message_dropped to={} error=\"{error}\"", message.to);
                }
            }
            Err(error) => {
                spdlog::warn!("event=message_dropped to={} error=\"{error}\"", message.to)
            }
        }
    }

    fn peer(&mut self, address: &str) -> eyre::Result<&mut PeerSocket> {
        if !self.peers.contains_key(address) {
            self.evict_if_full();
            let socket = dial(address, self.event_queue.clone())?;
            self.peers.insert(
                address.to_owned(),
                PeerSocket {
                    socket,
                    last_used: 0,
                },
            );
        }
        self.peers
            .get_mut(address)
            .ok_or_else(|| eyre!("no connection to peer {address}"))
    }

    fn evict_if_full(&mut self) {
        if self.peers.len() < MAX_CONNECTIONS {
            return;
        }
        let least_recently_used = self.peers.iter().min_by_key(|(_, peer)| peer.last_used);
        if let Some(address) = least_recently_used.map(|(address, _)| address.clone()) {
            self.peers.remove(&address);
        }
    }
}

fn dial<E>(address: &str, event_queue: Sender<E>) -> eyre::Result<Socket>
where
    E: From<MessagingEvent> + Send + 'static,
{
    let socket = Socket::new(Protocol::Push0)?;
    socket.set_opt::<SendBufferSize>(SEND_QUEUE_FRAMES)?;
    socket.set_opt::<ReconnectMinTime>(Some(MIN_RECONNECT_PAUSE))?;
    socket.set_opt::<ReconnectMaxTime>(Some(MAX_RECONNECT_PAUSE))?;
    let peer = address.to_owned();
    socket.pipe_notify(move |_, event| {
        if event == PipeEvent::RemovePost {
            // If the queue is full, timeouts detect the loss later.
            let _ = event_queue.try_send(MessagingEvent::PeerLost(peer.clone()).into());
        }
    })?;
    socket.dial_async(&format!("tcp://{address}"))?;
    Ok(socket)
}
