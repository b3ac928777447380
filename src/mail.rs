//! The edge to other processes: one nng pull socket to listen on, one push socket per peer.

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
use crate::wire::{FrameKeys, MailIn, MailOut, FRAME_LIMIT, WIRE_VERSION};

/// Frames that may wait for one peer before new ones are dropped.
const SEND_QUEUE_FRAMES: i32 = 1024;
/// Frames that may wait to be read.
const RECEIVE_QUEUE_FRAMES: i32 = 1024;
/// Shortest pause before a peer that could not be reached is dialled again.
const RECONNECT_LEAST: Duration = Duration::from_millis(20);
/// Longest such pause.
const RECONNECT_MOST: Duration = Duration::from_millis(500);
/// Peers kept connected; the least recently used is closed first.
const PEER_LIMIT: usize = 1024;

/// The logical clock of one process, shared by its threads.
#[derive(Clone, Debug, Default)]
pub struct LamportClock(Arc<AtomicU64>);

impl LamportClock {
    /// Advances for a local event or a message out.
    pub fn tick(&self) -> u64 {
        self.0.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Advances past a message in.
    pub fn observe(&self, seen: u64) {
        self.0.fetch_max(seen, Ordering::Relaxed);
        self.tick();
    }
}

/// What the mail edge tells a process.
#[derive(Clone, Debug, PartialEq)]
pub enum MailEvent {
    /// An authenticated message.
    Received(Box<MailIn>),
    /// The connection to a peer broke.
    PeerLost(String),
}

/// Who a process is, towards others.
#[derive(Clone, Debug)]
pub struct MailIdentity {
    /// Mail address, "ip:port".
    pub address: String,
    /// Chosen at start.
    pub incarnation: u64,
    /// Keys that authenticate frames.
    pub keys: FrameKeys,
    /// The process's logical clock.
    pub clock: LamportClock,
}

impl std::fmt::Debug for FrameKeys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FrameKeys(secret)")
    }
}

/// Starts the thread that receives mail.
///
/// # Errors
///
/// When the address cannot be listened on.
pub fn listen<E>(identity: &MailIdentity, ring: Sender<E>) -> eyre::Result<()>
where
    E: From<MailEvent> + Send + 'static,
{
    let socket = Socket::new(Protocol::Pull0).wrap_err("could not open a mail socket")?;
    socket.set_opt::<RecvMaxSize>(FRAME_LIMIT)?;
    socket.set_opt::<RecvBufferSize>(RECEIVE_QUEUE_FRAMES)?;
    socket
        .listen(&format!("tcp://{}", identity.address))
        .wrap_err_with(|| format!("could not listen for mail on {}", identity.address))?;
    let keys = identity.keys.clone();
    let clock = identity.clock.clone();
    thread::Builder::new()
        .name("mail".into())
        .spawn(move || receive_loop(&socket, &keys, &clock, &ring))
        .map_err(|error| eyre!("could not start the mail thread: {error}"))?;
    Ok(())
}

fn receive_loop<E: From<MailEvent>>(
    socket: &Socket,
    keys: &FrameKeys,
    clock: &LamportClock,
    ring: &Sender<E>,
) {
    while let Ok(message) = socket.recv() {
        match keys.open(&message) {
            Ok(envelope) => {
                clock.observe(envelope.lamport);
                let Some(body) = envelope.body else { continue };
                let mail = MailIn {
                    from: envelope.sender,
                    incarnation: envelope.incarnation,
                    body,
                };
                if ring
                    .send(MailEvent::Received(Box::new(mail)).into())
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
    used: u64,
}

/// Sends mail; owned by the thread that decides.
pub struct MailPost<E> {
    identity: MailIdentity,
    ring: Sender<E>,
    peers: HashMap<String, PeerSocket>,
    sent: u64,
}

impl<E> MailPost<E>
where
    E: From<MailEvent> + Send + 'static,
{
    /// A post for one process; broken connections are told to `ring`.
    pub fn new(identity: MailIdentity, ring: Sender<E>) -> MailPost<E> {
        MailPost {
            identity,
            ring,
            peers: HashMap::new(),
            sent: 0,
        }
    }

    /// Sends one message without waiting; a full queue drops it, as the network may.
    pub fn send(&mut self, mail: MailOut) {
        self.sent += 1;
        let envelope = Envelope {
            version: WIRE_VERSION,
            sender: self.identity.address.clone(),
            incarnation: self.identity.incarnation,
            lamport: self.identity.clock.tick(),
            body: Some(mail.body),
        };
        let frame = self.identity.keys.seal(&envelope);
        let sent = self.sent;
        match self.peer(&mail.to) {
            Ok(peer) => {
                peer.used = sent;
                if let Err((_, error)) = peer.socket.try_send(frame.as_slice()) {
                    spdlog::warn!("event=mail_dropped to={} error=\"{error}\"", mail.to);
                }
            }
            Err(error) => spdlog::warn!("event=mail_dropped to={} error=\"{error}\"", mail.to),
        }
    }

    fn peer(&mut self, address: &str) -> eyre::Result<&mut PeerSocket> {
        if !self.peers.contains_key(address) {
            self.make_room();
            let socket = dial(address, self.ring.clone())?;
            self.peers
                .insert(address.to_owned(), PeerSocket { socket, used: 0 });
        }
        self.peers
            .get_mut(address)
            .ok_or_else(|| eyre!("no peer {address}"))
    }

    fn make_room(&mut self) {
        if self.peers.len() < PEER_LIMIT {
            return;
        }
        let oldest = self.peers.iter().min_by_key(|(_, peer)| peer.used);
        if let Some(address) = oldest.map(|(address, _)| address.clone()) {
            self.peers.remove(&address);
        }
    }
}

fn dial<E>(address: &str, ring: Sender<E>) -> eyre::Result<Socket>
where
    E: From<MailEvent> + Send + 'static,
{
    let socket = Socket::new(Protocol::Push0)?;
    socket.set_opt::<SendBufferSize>(SEND_QUEUE_FRAMES)?;
    socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_LEAST))?;
    socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MOST))?;
    let peer = address.to_owned();
    socket.pipe_notify(move |_, event| {
        if event == PipeEvent::RemovePost {
            // A full ring only delays the news: timers find the loss too.
            let _ = ring.try_send(MailEvent::PeerLost(peer.clone()).into());
        }
    })?;
    socket.dial_async(&format!("tcp://{address}"))?;
    Ok(socket)
}
