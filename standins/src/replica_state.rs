//! State of the replicas behind the gateways, and records of what reached them.

use std::net::SocketAddr;
use std::time::Instant;

use crate::connection::SilenceCount;

/// Fault of a plain service, switched at run time with [`ReplicaTable::change`].
///
/// [`ReplicaTable::change`]: crate::replica::ReplicaTable::change
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReplicaFault {
    /// No fault.
    #[default]
    None,
    /// Runs the request and sends the response head, then closes the connection before the body.
    LosesResponse,
    /// Refuses with 503 and does not run the request.
    Refuses,
    /// Answers with 500 and does not run the request.
    Fails,
    /// Runs the request and responds with the id of another one in `x-attempt-id`.
    WrongRequestId,
    /// Runs the request and sends a body without an end.
    EndlessBody,
    /// Runs the request and closes the connection in the middle of the response head.
    CutsHead,
    /// Runs the request and closes the connection in the middle of the body.
    CutsBody,
}

/// State of one replica. Tests change it to inject faults.
#[derive(Clone, Debug, Default)]
pub struct ReplicaState {
    /// Id in the registry, compared with `x-expect-replica`.
    pub id: String,
    /// Incarnation, `born` in the registry; a higher value means that the replica was restarted.
    pub incarnation: u64,
    /// First layer held and the layer after the last one held; `(0, 0)` before the first order.
    pub layers: (u64, u64),
    /// Number of layer orders accepted in this incarnation, `sequence` in reports.
    pub accepted_orders: u64,
    /// Highest fencing token accepted; orders with a lower one get 412.
    pub fencing_token: u64,
    /// Whether the replica is dead. Its registry entry is then no longer updated, new streams over
    /// it are refused with 503, streams that have it as the first hop of their chain break off, and
    /// streams that have it as a later hop stall. Reports and orders are still answered.
    pub dead: bool,
    /// Whether a request has crashed the replica and it is not back yet: it closes its connections
    /// without an answer and accepts none, and its registry entry is not updated. Streams over it
    /// that are not moved to another chain by then break off when it is back.
    pub crashed: bool,
    /// End of a silence, in which the replica accepts connections and requests but sends nothing, and
    /// after which it goes on with all its work. A stream that has it as a later hop is reported as
    /// stalled meanwhile. `None` if it is not silent.
    pub silent_until: Option<Instant>,
    /// Whether it closes the connections of queries and health checks while it is silent, as one does
    /// that has as many connections as it takes.
    pub resets_queries: bool,
    /// Whether the events of its streams have no ids.
    pub omits_event_ids: bool,
    /// Number of times that its open connections went silent for good.
    pub silences: SilenceCount,
    /// Fault in force, for a plain service.
    pub fault: ReplicaFault,
    /// Whether each stream is answered with the text of an error and status 200, and not run.
    pub answers_error: bool,
    /// Whether every answer says that the replica is leaving (`server-leaving`). The registry is
    /// not told.
    pub leaving: bool,
    /// Text of `retry-after` with which each request is refused; empty for none.
    pub rest: &'static str,
    /// Values of `server-limit` in every answer; empty for none.
    pub limits: &'static [&'static str],
    /// Number of callers' requests that reached the replica, also those that it refused.
    pub arrivals: u32,
    /// Requests of any kind that reached the replica, those of the gateways' own included.
    pub arrivals_at: Vec<Arrival>,
}

impl ReplicaState {
    /// Whether the replica sends nothing now, although it is sound.
    pub fn is_silent(&self) -> bool {
        self.silent_until
            .is_some_and(|until| Instant::now() < until)
    }
}

/// A request that reached a replica.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When it arrived.
    pub at: Instant,
    /// Incarnation of the replica.
    pub incarnation: u64,
    /// Limits that the replica names in its answer.
    pub limits: &'static [&'static str],
}

/// One run of a request by a replica, recorded when it starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunRecord {
    /// Value of `x-attempt-id`.
    pub request_id: String,
    /// Address of the replica.
    pub replica: SocketAddr,
    /// Value of `x-tenant`.
    pub team: String,
    /// Whether the request still carried the caller's `x-api-key`.
    pub has_api_key: bool,
    /// Value of `x-hops`, for a model; otherwise empty.
    pub chain: String,
    /// Request body.
    pub body: String,
    /// Incarnation of the replica if it says in its answers that it is leaving.
    pub leaving: Option<u64>,
    /// Fault of the replica at the start of the run.
    pub fault: ReplicaFault,
}
