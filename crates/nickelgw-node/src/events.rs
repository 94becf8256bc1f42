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

/// An event, and when it was read from its socket.
pub struct TimedEvent {
    /// When the event was received; the latency from socket to decision is measured from here.
    pub received_at: Instant,
    /// The event.
    pub event: Event,
}

impl TimedEvent {
    /// Stamps an event with the current time.
    pub fn new(event: Event) -> TimedEvent {
        TimedEvent { received_at: Instant::now(), event }
    }
}

/// Control signal to the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Shut down in stages; open requests may finish.
    Drain,
    /// Shut down in stages; another process already accepts connections on the listening socket.
    DrainHandedOver,
    /// Close the store, because another process is about to open it.
    ReleaseStore,
    /// Open the store again, because no other process has opened it.
    ResumeStore,
    /// Enter the next shutdown stage at once.
    SkipStage,
}

/// Event for the event loop to handle.
pub enum Event {
    /// The process received a control signal.
    Signal(ProcessSignal),
    /// A client's request passed admission.
    Accept {
        /// The request as the core decides on it.
        request: AdmittedRequest,
        /// The client's side of the request, which receives the response.
        client: ClientRequest,
        /// Receives the request's id if the core accepts it; dropped otherwise.
        accepted: Sender<RequestId>,
    },
    /// A decode engine sent the first event of its stream.
    ResponseStarted {
        /// The request.
        request_id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// Receives the response sink if this attempt may respond to the client; dropped otherwise.
        reply_to: Sender<ResponseSink>,
    },
    /// A prefill or decode attempt ended.
    AttemptEnded {
        /// The request.
        request_id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// How the attempt ended.
        result: AttemptResult,
        /// The attempt's response sink; `None` if the attempt was given none.
        sink: Option<ResponseSink>,
    },
    /// A health probe ended.
    ProbeFinished {
        /// The probed engine.
        endpoint: Rc<Endpoint>,
        /// How the probe ended.
        outcome: AttemptOutcome,
        /// Load that the engine reported; `None` if it reported none.
        load: Option<LoadReport>,
    },
    /// A call that releases a reservation ended.
    ReleaseFinished {
        /// Id of the release call.
        call: ReleaseCallId,
        /// How the call ended.
        outcome: ReleaseOutcome,
    },
    /// A call that releases the reservations of an earlier process of this node ended.
    OrphanCleanupFinished {
        /// The prefill engine.
        endpoint: Rc<Endpoint>,
        /// Whether the engine needs no further call: it has released them, or does not support the call.
        confirmed: bool,
    },
    /// The core's learned state is requested, in order to save it.
    SaveLearnedState {
        /// Receives the encoded state.
        reply_to: Sender<Vec<u8>>,
    },
    /// The node's position in the fleet has changed.
    FleetPosition(FleetPosition),
    /// A gossip round begins.
    ZoneRound {
        /// Records of the zone's other nodes.
        peers: Vec<PeerRecord>,
        /// Receives what this node publishes in the round.
        reply_to: Sender<ZoneRound>,
    },
    /// Metrics are requested.
    CollectMetrics {
        /// Receives the snapshot.
        reply_to: Sender<MetricsSnapshot>,
    },
    /// The trace of a request is requested.
    Explain {
        /// The request id, as in the `x-request-id` header.
        request_id: String,
        /// Receives the trace as text, or `None` if no trace is kept for the request.
        reply_to: Sender<Option<String>>,
    },
    /// Endpoint discovery has received a new endpoint list.
    EndpointsUpdated {
        /// The endpoint list.
        list: EndpointList,
        /// Ids of engines whose process was replaced by another one.
        replaced: Vec<String>,
    },
    /// A fetch of the endpoint list failed.
    EndpointPollFailed,
}
