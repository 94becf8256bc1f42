//! Events that other tasks of the node send to the event loop.

use crate::metrics_snapshot::MetricsSnapshot;
use crate::replies::{ClientRequest, ResponseSink};
use async_channel::Sender;
use nickelgw_gossip::core::PeerRecord;
use nickelgw_node_core::zone_failover::ZoneRound;
use nickelgw_node_core::{
    AdmittedRequest, AttemptOutcome, AttemptResult, Endpoint, ReleaseCallId, ReleaseOutcome, RequestId,
};
use nickelgw_protocol::list::EndpointList;
use nickelgw_protocol::load::LoadReport;
use nickelgw_registry::core::membership::FleetPosition;
use std::rc::Rc;
use std::time::Instant;

/// An event, and when it was read off its socket.
pub struct TimedEvent {
    /// For the latency from socket to decision.
    pub received_at: Instant,
    /// What happened.
    pub event: Event,
}

impl TimedEvent {
    /// The event, stamped with the current time.
    pub fn new(event: Event) -> TimedEvent {
        TimedEvent { received_at: Instant::now(), event }
    }
}

/// A control signal to the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Shut down in stages; open requests may finish.
    Drain,
    /// Shut down; another process owns the listening socket already.
    DrainHandedOver,
    /// Close the store, which another process is about to open.
    ReleaseStore,
    /// Open the store again, as no other process has.
    ResumeStore,
    /// Enter the next shutdown stage at once.
    SkipStage,
}

/// What the event loop is told.
pub enum Event {
    /// The process received a control signal.
    Signal(ProcessSignal),
    /// A client's request passed admission.
    Accept {
        /// What the core decides on.
        request: AdmittedRequest,
        /// Where its response goes.
        client: ClientRequest,
        /// Takes the id, if the core accepts it.
        accepted: Sender<RequestId>,
    },
    /// A decode engine sent the first event of its stream.
    ResponseStarted {
        /// The request.
        request_id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// Takes the sink, if this attempt may respond; dropped otherwise.
        grant: Sender<ResponseSink>,
    },
    /// A prefill or decode attempt ended.
    AttemptEnded {
        /// The request.
        request_id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// How it ended.
        result: AttemptResult,
        /// The sink that it was granted.
        sink: Option<ResponseSink>,
    },
    /// A health probe ended.
    ProbeFinished {
        /// The probed engine.
        endpoint: Rc<Endpoint>,
        /// How it ended.
        outcome: AttemptOutcome,
        /// The load that the engine reported.
        load: Option<LoadReport>,
    },
    /// A call that releases a reservation ended.
    ReleaseFinished {
        /// The call.
        call: ReleaseCallId,
        /// How it ended.
        outcome: ReleaseOutcome,
    },
    /// A call that releases an earlier process's reservations ended.
    OrphanCleanupFinished {
        /// The prefill engine.
        endpoint: Rc<Endpoint>,
        /// Whether they are released for certain.
        done: bool,
    },
    /// The learned state is to be saved.
    SaveLearnedState {
        /// Takes the encoded state.
        reply_to: Sender<Vec<u8>>,
    },
    /// The node's number in the fleet has changed.
    FleetPosition(FleetPosition),
    /// A gossip round.
    ZoneRound {
        /// Records of the zone's other nodes.
        peers: Vec<PeerRecord>,
        /// Takes what this node publishes.
        reply_to: Sender<ZoneRound>,
    },
    /// Metrics are scraped.
    CollectMetrics {
        /// Takes the snapshot.
        reply_to: Sender<MetricsSnapshot>,
    },
    /// The trace of a request is read.
    Explain {
        /// The request id.
        request_id: String,
        /// Takes the trace as text, if there is one.
        reply_to: Sender<Option<String>>,
    },
    /// Endpoint discovery has a new list.
    EndpointsUpdated {
        /// The list.
        list: EndpointList,
        /// Ids whose engine was replaced by another process.
        replaced: Vec<String>,
    },
    /// A fetch of the endpoint list failed.
    EndpointPollFailed,
}
