//! What the core and its shell say to each other.

use super::attempt_outcome::AttemptOutcome;
use super::guard::Violation;
use super::ledger::{ReservationId, Transition};
use nickelgw::interface::{DispatchRationale, RejectionReason};
use nickelgw_chat::core::grant::GrantKey;
use nickelgw_protocol::load::LoadReport;
use nickelgw_tenants::core::fair_share;
use std::rc::Rc;

/// Names a request taken. A late word for one that is over finds nothing and is passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId {
    pub(super) slot: u32,
    pub serial: u64,
}

/// An engine as the list has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    pub id: String,
    pub address: String,
    /// The name that its certificate must stand for; none: the host in the address.
    pub tls_name: Option<String>,
}

/// A state that waits at a reader.
#[derive(Clone, Debug, PartialEq)]
pub struct Reservation {
    pub name: Rc<str>,
    pub prefill_engine: Rc<Endpoint>,
    /// It bears its request's name: one call, to any engine, lets go of all that is held for the request.
    pub named_after_request: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub struct AttemptRequest {
    pub request: RequestId,
    pub attempt: u32,
    /// The send's own name; a read leaves its state under it.
    pub name: String,
    pub engine: Rc<Endpoint>,
    /// Time for a read to end, for a write to begin.
    pub timeout_s: f64,
    /// It may not be made again once it may have run.
    pub runs_once: bool,
    pub kind: AttemptKind,
    /// Why there, for who asks.
    pub rationale: DispatchRationale,
}

#[derive(Clone, Debug, PartialEq)]
pub enum AttemptKind {
    Prefill,
    /// With no state the writer reads the prompt itself. A stream silent for longer than `idle_s` is lost.
    Decode {
        reservation: Option<Reservation>,
        /// By which the writer may fetch it, where readers ask for one.
        grant: Option<String>,
        idle_timeout_s: f64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalAnswer {
    Completed,
    /// Nothing has run, or may run again: the client may come back, where said, after so long.
    Rejected {
        retry_after_s: Option<f64>,
    },
    Failed(FailureReason),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// The client's time ended before an answer began.
    DeadlineExceeded,
    /// Every send allowed has failed.
    AttemptsFailed,
    /// The stream broke after its first token.
    StreamBroken,
    /// The node stops, and its grace is over.
    ShuttingDown,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    StartAttempt(AttemptRequest),
    CancelAttempt {
        request: RequestId,
        attempt: u32,
    },
    /// The one final answer; nothing is sent for the ticket after it.
    Answer {
        ticket: RequestId,
        answer: FinalAnswer,
    },
    Release {
        reservation_id: ReservationId,
        reservation: Reservation,
        /// Where any engine takes the call: those at which it is tried, in this order.
        endpoints: Vec<Rc<Endpoint>>,
    },
    Probe(Rc<Endpoint>),
    /// Whatever earlier processes of this node left at the reader is let go of.
    ReleaseOrphans(Rc<Endpoint>),
    PollEndpoints,
}

#[derive(Clone, Debug, Default)]
pub struct CommandBatch {
    pub commands: Vec<Command>,
    /// Why those that were given up were.
    pub reasons: Vec<(RequestId, RejectionReason)>,
    /// What has become of KV reservations, for the log.
    pub transitions: Vec<Transition>,
    /// Rules that were about to be broken, or were, with their requests' serial numbers.
    pub violations: Vec<(Violation, u64)>,
    pub wake_at: Option<f64>,
}

/// How a send ended, as the shell saw it.
#[derive(Clone, Debug, Default)]
pub struct AttemptResult {
    pub outcome: AttemptOutcome,
    pub load: Option<LoadReport>,
    /// Prompt tokens that the reader had kept.
    pub cached_tokens: f64,
}

/// The few figures of the settings that the core uses itself.
#[derive(Clone, Debug)]
pub struct CoreConfig {
    /// Name of this process of this node, in every send's name: never used by another.
    pub incarnation: String,
    /// Unix time at the process's time zero, for start times in the list.
    pub started_at_unix_s: f64,
    pub zones: Vec<String>,
    /// Inferences open at once; one more is refused at the door.
    pub max_open_requests: usize,
    pub stream_idle_timeout_s: f64,
    pub release_timeout_s: f64,
    /// From when, and until when, states that an earlier process left are looked for.
    pub orphan_cleanup_window_s: (f64, f64),
    /// What a client is told when the node goes.
    pub retry_after_s: f64,
    pub grants: Option<GrantConfig>,
    /// Tenants are let in by their parts when there is not enough for all.
    pub fair_share: Option<FairShareConfig>,
    /// Inferences open at once for each tenant; none: only the node's own limit counts.
    pub tenant_max_open: Vec<Option<usize>>,
}

/// Weights of the tenants.
#[derive(Clone, Debug)]
pub struct FairShareConfig {
    pub limits: fair_share::FairShareLimits,
    pub weights: Vec<f64>,
}

/// Keys that grants of states are made with.
#[derive(Clone)]
pub struct GrantConfig {
    /// From when (Unix time) each is used, in that order; readers know them all.
    pub keys: Vec<(f64, GrantKey)>,
    pub lifetime_s: f64,
}

impl std::fmt::Debug for GrantConfig {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{} keys", self.keys.len())
    }
}

impl GrantConfig {
    /// The newest key whose time has come; before any has, the first.
    pub(super) fn key(&self, unix_now: f64) -> Option<&GrantKey> {
        let ripe = self.keys.iter().rev().find(|k| k.0 <= unix_now);
        ripe.or(self.keys.first()).map(|k| &k.1)
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounters {
    pub accepted: u64,
    pub completed: u64,
    pub rejected: u64,
    pub failed: u64,
    pub disconnected: u64,
    pub denied: u64,
}
