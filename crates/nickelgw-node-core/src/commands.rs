//! Messages between the core and its shell: commands issued by the core and results reported to it.

use crate::attempt_outcome::AttemptOutcome;
use crate::guard::Violation;
use crate::ledger::Transition;
use nickelgw::interface::{DispatchRationale, RejectionReason};
use nickelgw_protocol::load::LoadReport;
use std::rc::Rc;

/// Identifies an accepted request. Events for a request that is already closed are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId {
    /// Handle of the request in the decision module, reused after the request is closed.
    pub(crate) slot: u32,
    /// Serial number, unique within this process.
    pub serial: u64,
}

/// Identity and address of an engine, from the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Engine id in the endpoint list.
    pub id: String,
    /// Host and port.
    pub address: String,
    /// Name that the engine's certificate must be valid for; `None` if it is the host in the address.
    pub tls_name: Option<String>,
}

/// A KV reservation at a prefill engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Reservation {
    /// Name of the reservation at the engine.
    pub name: Rc<str>,
    /// Engine that holds the reservation.
    pub prefill_engine: Rc<Endpoint>,
    /// Whether the reservation has its request's name: one release call, to any engine, then releases all
    /// reservations of the request.
    pub named_after_request: bool,
}

/// Identifies a release call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReleaseCallId(pub(crate) u64);

/// A call that releases a reservation.
#[derive(Clone, Debug, PartialEq)]
pub struct ReleaseCall {
    /// Id of the call, reported back when the call ends.
    pub id: ReleaseCallId,
    /// Reservation to release.
    pub reservation: Reservation,
    /// Engine to call.
    pub endpoint: Rc<Endpoint>,
    /// Connection to use.
    pub connection: ReleaseConnection,
}

/// Which connection a release call may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseConnection {
    /// An idle connection if there is one, otherwise a new one.
    Any,
    /// A new connection, because idle ones may no longer respond.
    New,
}

/// How a release call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseOutcome {
    /// The engine has released the reservation, or did not have it.
    Confirmed,
    /// The engine answered, but has not released the reservation.
    Refused,
    /// The engine did not answer.
    Unanswered,
}

/// An attempt to send to an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptRequest {
    /// Request that the attempt is made for.
    pub request: RequestId,
    /// Number of the attempt within its request.
    pub attempt: u32,
    /// Name of the attempt at the engine; also the name of the reservation that a prefill makes.
    pub name: String,
    /// Engine that the attempt is sent to.
    pub engine: Rc<Endpoint>,
    /// Timeout in seconds: for a prefill until its end, for a decode attempt until its first token.
    pub timeout_s: f64,
    /// Whether this is a decode attempt of a non-idempotent request, which must not be repeated once it may
    /// have run.
    pub runs_once: bool,
    /// Work requested from the engine.
    pub kind: AttemptKind,
    /// Why the engine was chosen, for the request's trace.
    pub rationale: DispatchRationale,
}

/// Work requested from an engine by an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptKind {
    /// Read the prompt and keep its KV cache under a reservation.
    Prefill,
    /// Generate the answer. Without a reservation the engine also prefills the prompt.
    Decode {
        /// Reservation whose KV cache the engine fetches; `None` if the engine prefills the prompt itself.
        reservation: Option<Reservation>,
        /// Grant that permits the decode engine to fetch the reservation; `None` without a reservation, or if
        /// prefill engines require no grant.
        grant: Option<String>,
        /// Longest pause within the stream, in seconds; a longer one ends the attempt with a timeout.
        idle_timeout_s: f64,
    },
}

/// Final answer to a request; each request gets at most one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalAnswer {
    /// The response is complete.
    Completed,
    /// Nothing has run, or the request may run again: a retry is safe.
    Rejected {
        /// Seconds after which the client may retry; `None` if it is not told.
        retry_after_s: Option<f64>,
    },
    /// The request failed, and an attempt may have run.
    Failed(FailureReason),
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// The deadline passed before the first token, or before a response that is not streamed was complete.
    DeadlineExceeded,
    /// All attempts that were allowed have failed.
    AttemptsFailed,
    /// The stream broke after its first token.
    StreamBroken,
    /// The node shuts down, and the time that open requests had to finish is over.
    ShuttingDown,
}

/// A command for the shell.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send an attempt to an engine.
    StartAttempt(AttemptRequest),
    /// Cancel an attempt in flight.
    CancelAttempt {
        /// Request of the attempt.
        request: RequestId,
        /// Number of the attempt within its request.
        attempt: u32,
    },
    /// Send the client the final answer. No later command refers to the request.
    Answer {
        /// Request that is answered.
        request: RequestId,
        /// Final answer.
        answer: FinalAnswer,
    },
    /// Call an engine to release a reservation.
    Release(ReleaseCall),
    /// Probe an engine.
    Probe(Rc<Endpoint>),
    /// Release all reservations that earlier processes of this node made at the engine.
    ReleaseOrphans(Rc<Endpoint>),
    /// Fetch the endpoint list.
    PollEndpoints,
}

/// Commands and records that result from a batch of events.
#[derive(Clone, Debug, Default)]
pub struct CommandBatch {
    /// Commands to carry out, in this order.
    pub commands: Vec<Command>,
    /// Why requests were rejected or failed.
    pub reasons: Vec<(RequestId, RejectionReason)>,
    /// Transitions of KV reservations, for the log.
    pub transitions: Vec<Transition>,
    /// Violations that were prevented or found, with the serial numbers of their requests.
    pub violations: Vec<(Violation, u64)>,
    /// When to poll again if no event comes before; `None` if only an event requires another poll.
    pub wake_at: Option<f64>,
}

/// Result of an attempt, reported by the shell.
#[derive(Clone, Debug, Default)]
pub struct AttemptResult {
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Load that the engine reported with its answer; `None` if it reported none.
    pub load: Option<LoadReport>,
    /// Number of prompt tokens that the prefill engine had cached.
    pub cached_tokens: f64,
}
