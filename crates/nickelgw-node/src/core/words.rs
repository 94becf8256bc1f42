//! What the core and its shell say to each other.

use super::cause::Cause;
use super::guard::Violation;
use super::ledger::{ReservationId, Transition};
use nickelgw::interface::{DispatchRationale, RejectionReason};
use nickelgw_chat::core::grant::GrantKey;
use nickelgw_protocol::load::LoadReport;
use nickelgw_tenants::core::fair;
use std::rc::Rc;

/// Names a request taken. A late word for one that is over finds nothing and is passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket {
    pub(super) inf: u32,
    pub serial: u64,
}

/// An engine as the list has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    pub id: String,
    pub address: String,
    /// The name that its certificate must stand for; none: the host in the address.
    pub tls_name: Option<String>,
}

/// A state that waits at a reader.
#[derive(Clone, Debug, PartialEq)]
pub struct Reservation {
    pub name: String,
    pub reader: Rc<Place>,
    /// It bears its request's name: one call, to any engine, lets go of all that is held for the request.
    pub shared: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    pub ticket: Ticket,
    pub send: u32,
    /// The send's own name; a read leaves its state under it.
    pub name: String,
    pub eng: Rc<Place>,
    /// Time for a read to end, for a write to begin.
    pub patience_s: f64,
    /// It may not be made again once it may have run.
    pub once: bool,
    pub what: Work,
    /// Why there, for who asks.
    pub grounds: DispatchRationale,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Work {
    Read,
    /// With no state the writer reads the prompt itself. A stream silent for longer than `idle_s` is lost.
    Write {
        state: Option<Reservation>,
        /// By which the writer may fetch it, where readers ask for one.
        grant: Option<String>,
        idle_s: f64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    Completed,
    /// Nothing has run, or may run again: the client may come back, where said, after so long.
    Shed {
        come_back_s: Option<f64>,
    },
    Errored(Why),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// The client's time ended before an answer began.
    TimeUp,
    /// Every send allowed has failed.
    SendsFailed,
    /// The stream broke after its first token.
    StreamBroken,
    /// The node stops, and its grace is over.
    Stopping,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Do {
    Send(Order),
    CallOff {
        ticket: Ticket,
        send: u32,
    },
    /// The one final answer; nothing is sent for the ticket after it.
    Answer {
        ticket: Ticket,
        answer: Answer,
    },
    Release {
        call: ReservationId,
        state: Reservation,
        /// Where any engine takes the call: those at which it is tried, in this order.
        at: Vec<Rc<Place>>,
    },
    Probe(Rc<Place>),
    /// Whatever earlier processes of this node left at the reader is let go of.
    Sweep(Rc<Place>),
    AskList,
}

#[derive(Clone, Debug, Default)]
pub struct Actions {
    pub todo: Vec<Do>,
    /// Why those that were given up were.
    pub reasons: Vec<(Ticket, RejectionReason)>,
    /// What has become of KV reservations, for the log.
    pub transitions: Vec<Transition>,
    /// Rules that were about to be broken, or were, with their requests' serial numbers.
    pub violations: Vec<(Violation, u64)>,
    pub wake_at: Option<f64>,
}

/// How a send ended, as the shell saw it.
#[derive(Clone, Debug, Default)]
pub struct End {
    pub cause: Cause,
    pub load: Option<LoadReport>,
    /// Prompt tokens that the reader had kept.
    pub kept: f64,
}

/// The few figures of the settings that the core uses itself.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Name of this process of this node, in every send's name: never used by another.
    pub boot: String,
    /// Unix time at the process's time zero, for start times in the list.
    pub epoch_unix_s: f64,
    pub zones: Vec<String>,
    /// Inferences open at once; one more is refused at the door.
    pub most_open: usize,
    pub stream_idle_s: f64,
    pub let_go_within_s: f64,
    /// From when, and until when, states that an earlier process left are looked for.
    pub sweep_s: (f64, f64),
    /// What a client is told when the node goes.
    pub come_back_s: f64,
    pub grants: Option<Grants>,
    /// Tenants are let in by their parts when there is not enough for all.
    pub fair: Option<FairShares>,
    /// Inferences open at once for each tenant; none: only the node's own limit counts.
    pub tenant_most_open: Vec<Option<usize>>,
}

/// Weights of the tenants.
#[derive(Clone, Debug)]
pub struct FairShares {
    pub figures: fair::Figures,
    pub weights: Vec<f64>,
}

/// Keys that grants of states are made with.
#[derive(Clone)]
pub struct Grants {
    /// From when (Unix time) each is used, in that order; readers know them all.
    pub keys: Vec<(f64, GrantKey)>,
    pub lifetime_s: f64,
}

impl std::fmt::Debug for Grants {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{} keys", self.keys.len())
    }
}

impl Grants {
    /// The newest key whose time has come; before any has, the first.
    pub(super) fn key(&self, unix_now: f64) -> Option<&GrantKey> {
        let ripe = self.keys.iter().rev().find(|k| k.0 <= unix_now);
        ripe.or(self.keys.first()).map(|k| &k.1)
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub taken: u64,
    pub completed: u64,
    pub shed: u64,
    pub errored: u64,
    pub left: u64,
    pub refused: u64,
}
