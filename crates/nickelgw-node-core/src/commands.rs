//! Messages between the core and its shell: commands that the core gives, and results that it is told.

use crate::attempt_outcome::AttemptOutcome;
use crate::guard::Violation;
use crate::ledger::Transition;
use nickelgw::interface::{DispatchRationale, RejectionReason};
use nickelgw_protocol::load::LoadReport;
use std::rc::Rc;

/// Identifies an accepted request. An event that names a request which is over is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId {
    /// The decision module's handle, which is used again once the request is closed.
    pub(crate) slot: u32,
    /// Unique in this process.
    pub serial: u64,
}

/// An engine as the endpoint list has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its name in the list.
    pub id: String,
    /// Host and port.
    pub address: String,
    /// The name that its certificate must be valid for; none: the host in the address.
    pub tls_name: Option<String>,
}

/// A KV reservation at a prefill engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Reservation {
    /// The name under which the engine knows it.
    pub name: Rc<str>,
    /// The engine that holds it.
    pub prefill_engine: Rc<Endpoint>,
    /// It bears its request's name: one call, to any engine, releases all that is reserved for the request.
    pub named_after_request: bool,
}

/// Identifies a release call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReleaseCallId(pub(crate) u64);

/// A call that releases a reservation.
#[derive(Clone, Debug, PartialEq)]
pub struct ReleaseCall {
    /// Names the call as it ends.
    pub id: ReleaseCallId,
    /// The reservation.
    pub reservation: Reservation,
    /// The engine to call.
    pub endpoint: Rc<Endpoint>,
    /// The connection to use.
    pub connection: ReleaseConnection,
}

/// Which connection a release call may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseConnection {
    /// An idle one, if there is one.
    Any,
    /// A new one: idle ones may be silent.
    New,
}

/// How a release call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseOutcome {
    /// The engine has released the reservation, or never had it.
    Confirmed,
    /// The engine answered, and has not.
    Refused,
    /// No answer came.
    Unanswered,
}

/// An attempt that is to be made at an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptRequest {
    /// The request that it is made for.
    pub request: RequestId,
    /// Its number among the request's attempts.
    pub attempt: u32,
    /// Its name at the engine; a prefill makes its reservation under it.
    pub name: String,
    /// Where it goes.
    pub engine: Rc<Endpoint>,
    /// Time for a prefill to end, for a decode attempt to give its first token.
    pub timeout_s: f64,
    /// It must not be retried once it may have run.
    pub runs_once: bool,
    /// What the engine is to do.
    pub kind: AttemptKind,
    /// Why this engine, for the request's trace.
    pub rationale: DispatchRationale,
}

/// What an engine is to do in an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptKind {
    /// Read the prompt and keep its KV cache under a reservation.
    Prefill,
    /// Generate the answer. With no reservation the engine reads the prompt itself.
    Decode {
        /// The reservation to fetch.
        reservation: Option<Reservation>,
        /// By which the decode engine may fetch it, where prefill engines ask for a grant.
        grant: Option<String>,
        /// A stream that is silent for longer is lost.
        idle_timeout_s: f64,
    },
}

/// The one final answer to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalAnswer {
    /// The answer was given in full.
    Completed,
    /// Nothing has run, or it may run again: a retry is safe.
    Rejected {
        /// After how long the client may come back; none: it is not told.
        retry_after_s: Option<f64>,
    },
    /// Something may have run.
    Failed(FailureReason),
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// The deadline passed before an answer began.
    DeadlineExceeded,
    /// All attempts that were allowed have failed.
    AttemptsFailed,
    /// The stream broke after its first token.
    StreamBroken,
    /// The node shuts down, and its drain timeout is over.
    ShuttingDown,
}

/// What the shell is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Make an attempt.
    StartAttempt(AttemptRequest),
    /// Cancel an attempt in flight.
    CancelAttempt {
        /// The request that it was made for.
        request: RequestId,
        /// Its number.
        attempt: u32,
    },
    /// Give the client the final answer; no command names the request after it.
    Answer {
        /// The request.
        request: RequestId,
        /// Its answer.
        answer: FinalAnswer,
    },
    /// Call an engine to release a reservation.
    Release(ReleaseCall),
    /// Probe an engine.
    Probe(Rc<Endpoint>),
    /// Release whatever earlier processes of this node have reserved at the engine.
    ReleaseOrphans(Rc<Endpoint>),
    /// Fetch the endpoint list.
    PollEndpoints,
}

/// What came of a batch of events.
#[derive(Clone, Debug, Default)]
pub struct CommandBatch {
    /// What to do, in this order.
    pub commands: Vec<Command>,
    /// Why requests were rejected or failed.
    pub reasons: Vec<(RequestId, RejectionReason)>,
    /// Transitions of KV reservations, for the log.
    pub transitions: Vec<Transition>,
    /// Rules that were about to be broken, or were, with their requests' serial numbers.
    pub violations: Vec<(Violation, u64)>,
    /// When to poll again, if no event comes before.
    pub wake_at: Option<f64>,
}

/// How an attempt ended, as the shell saw it.
#[derive(Clone, Debug, Default)]
pub struct AttemptResult {
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The load that the engine reported with its answer.
    pub load: Option<LoadReport>,
    /// Prompt tokens that the prefill engine had cached.
    pub cached_tokens: f64,
}
