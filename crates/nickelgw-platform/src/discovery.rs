//! Client of discovery: makes the calls that its state machine commands, and applies the updates to the node.

use crate::core::discovery_calls::{
    CallId, DiscoveryCalls, DiscoveryCommand, DiscoveryRequest, MAX_OPEN_CALLS,
};
use crate::core::endpoint_list::DiscoveryUpdate;
use crate::core::engine::ResponseHead;
use crate::core::late_calls::LATE_LIMITS_S;
use crate::core::MAX_LIST_BYTES;
use crate::node::Node;
use crate::pool::{ConnectionPool, ConnectionUse, ShortCall};
use async_channel::{Receiver, Sender};
use bytes::Bytes;
use nickelgw_node::seconds;
use nickelgw_node_core::AttemptOutcome;
use smol::{Task, Timer};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

const LIST_PATH: &str = "/v1/servers";
/// Maximum number of connections to discovery: those in use, and one that is about to close.
pub const MAX_CONNECTIONS: usize = MAX_OPEN_CALLS + 1;
/// Timeout for opening a connection: a call waits for its connection as long as for its response.
pub const CONNECT_TIMEOUT_S: f64 = LATE_LIMITS_S[LATE_LIMITS_S.len() - 1];
/// Maximum number of events that wait to be handled: a head and a result for each call.
const MAX_EVENTS: usize = 2 * MAX_OPEN_CALLS;

/// Error returned when a call to discovery gives no update.
#[derive(Debug, thiserror::Error)]
enum FetchError {
    /// The response violates the protocol.
    #[error("{0}")]
    Malformed(String),
    /// No whole response was received.
    #[error("no response of discovery: {0:?}")]
    NoResponse(AttemptOutcome),
    /// The response has an error status.
    #[error("discovery responded with status {0}")]
    Status(u16),
}

/// Event that the client waits for.
enum Event {
    /// The head of a call's response was read.
    Head(CallId),
    /// A call has ended.
    Ended(CallId, Result<DiscoveryUpdate, FetchError>),
    /// The address of discovery has changed.
    AddressChanged,
    /// The state machine asked to be woken by now.
    Wake,
}

/// Client of discovery for one node.
pub struct DiscoveryClient {
    /// Node that applies the updates.
    pub node: Rc<Node>,
    /// Connection pool for discovery alone, so that the list is received however many connections to engines
    /// and clients are open.
    pub pool: Rc<ConnectionPool>,
    /// Address of discovery.
    pub address: Rc<RefCell<String>>,
    /// Channel that receives a message when the address has changed.
    pub address_changes: Receiver<()>,
}

impl DiscoveryClient {
    /// Applies the updates of discovery to the node until the future is dropped.
    pub async fn follow(self, mut calls: DiscoveryCalls) {
        let (events, received) = async_channel::bounded(MAX_EVENTS);
        // Dropping a task closes the connection of its call.
        let mut tasks = BTreeMap::new();
        loop {
            // A process that was held up handles the responses that have arrived meanwhile before timeouts.
            while let Ok(event) = received.try_recv() {
                self.handle(&mut calls, event);
            }
            for command in calls.poll(self.node.now()) {
                match command {
                    DiscoveryCommand::Start(id, request) => {
                        tasks.insert(id, self.start_call(id, request, events.clone()));
                    }
                    DiscoveryCommand::Cancel(id) => drop(tasks.remove(&id)),
                    DiscoveryCommand::LogOverdue { id, silent_s } => {
                        self.node.log_overdue_discovery_call(id, silent_s);
                    }
                }
            }
            let event = self.next_event(&received, calls.next_wake()).await;
            self.handle(&mut calls, event);
        }
    }

    async fn next_event(&self, received: &Receiver<Event>, wake_at: f64) -> Event {
        let call_event = async {
            match received.recv().await {
                Ok(event) => event,
                Err(_) => std::future::pending().await,
            }
        };
        let address_change = async {
            match self.address_changes.recv().await {
                Ok(()) => Event::AddressChanged,
                // It can no longer change.
                Err(_) => std::future::pending().await,
            }
        };
        let wake = async {
            Timer::after(seconds(wake_at - self.node.now())).await;
            Event::Wake
        };
        futures_lite::future::or(address_change, futures_lite::future::or(call_event, wake)).await
    }

    fn handle(&self, calls: &mut DiscoveryCalls, event: Event) {
        let now = self.node.now();
        match event {
            Event::Head(id) => calls.head_received(now, id),
            Event::Ended(id, Ok(update)) => {
                if let Some(update) = calls.responded(now, id, update) {
                    self.node.apply_update(update);
                }
            }
            Event::Ended(id, Err(error)) => {
                tracing::debug!(at = now, error = error.to_string(), "endpoint list fetch failed");
                calls.failed(now, id);
            }
            Event::AddressChanged => calls.address_changed(now),
            Event::Wake => {}
        }
    }

    fn start_call(&self, id: CallId, request: DiscoveryRequest, events: Sender<Event>) -> Task<()> {
        let (node, pool) = (self.node.clone(), self.pool.clone());
        let address = self.address.borrow().clone();
        self.node.executor().spawn(async move {
            let response = {
                let target = target(request);
                let call = ShortCall {
                    method: "GET",
                    target: &target,
                    address: &address,
                    usage: ConnectionUse::Control,
                    max_body_bytes: MAX_LIST_BYTES,
                    reads_body_to_end: true,
                };
                // The channel has room for all events of all calls.
                pool.call(&call, || drop(events.try_send(Event::Head(id)))).await
            };
            let _ = events.send(Event::Ended(id, parse(&node, response))).await;
        })
    }
}

fn target(request: DiscoveryRequest) -> String {
    match request {
        DiscoveryRequest::List => LIST_PATH.to_string(),
        DiscoveryRequest::Watch { since, wait_s } => {
            format!("{LIST_PATH}?since={since}&timeout_ms={}", (wait_s * 1e3) as u64)
        }
    }
}

fn parse(
    node: &Node,
    response: Result<(ResponseHead, Bytes), AttemptOutcome>,
) -> Result<DiscoveryUpdate, FetchError> {
    match response {
        Err(AttemptOutcome::Malformed) => {
            Err(malformed(node, "discovery response is not valid HTTP or exceeds a size limit".into()))
        }
        Err(outcome) => Err(FetchError::NoResponse(outcome)),
        Ok((head, body)) if head.status == 200 => {
            DiscoveryUpdate::parse(&body).map_err(|error| malformed(node, error.to_string()))
        }
        Ok((head, _)) => Err(FetchError::Status(head.status)),
    }
}

fn malformed(node: &Node, reason: String) -> FetchError {
    node.log_malformed("discovery", &reason);
    FetchError::Malformed(reason)
}
