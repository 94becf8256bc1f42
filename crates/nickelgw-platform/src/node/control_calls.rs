//! Calls to engines that carry no request of a client: probes and releases of reservations.

use super::Node;
use crate::core::discovery_timing::ResponseTimeouts;
use crate::core::{engine, names, MAX_BODY_BYTES};
use crate::pool::{ConnectionUse, ShortCall};
use nickelgw_node::seconds;
use nickelgw_node_core::{AttemptOutcome, Endpoint};
use smol::{Task, Timer};
use std::rc::Rc;

/// Seconds between the calls of one release to several engines: a usual response takes a few milliseconds.
const RELEASE_CALL_INTERVAL_S: f64 = 0.05;

impl Node {
    /// Probes an engine and passes what it answers to the core.
    pub(super) async fn probe(self: Rc<Self>, endpoint: Rc<Endpoint>) {
        let call = ShortCall {
            method: "GET",
            target: self.parts.probe_path,
            address: &endpoint.address,
            usage: ConnectionUse::Control,
            timeouts: ResponseTimeouts::total(self.parts.control_timeout_s),
            max_body_bytes: MAX_BODY_BYTES,
        };
        let (outcome, load) = match self.parts.pool.call(&call).await {
            Err(outcome) => (outcome, None),
            Ok((head, body)) => {
                let text = std::str::from_utf8(&body).ok();
                let load_in_body = text.and_then(|text| engine::parse_load_report(text.trim()));
                let outcome = match head.status {
                    200 => AttemptOutcome::Completed,
                    // It answers, and has no capacity now.
                    503 => AttemptOutcome::Rejected,
                    status => AttemptOutcome::ErrorStatus(status),
                };
                (outcome, head.load.or(load_in_body))
            }
        };
        self.core.borrow_mut().probe_finished(self.now(), &endpoint.id, outcome, load);
        self.wake();
    }

    /// Releases all that is reserved for the request, at whichever of these engines confirms it first. They are called one
    /// after the other without waiting for the calls before: an open connection may be silent.
    pub(super) async fn release(self: Rc<Self>, id: &str, endpoints: &[Rc<Endpoint>]) -> bool {
        let (confirm, confirmed) = async_channel::bounded(endpoints.len().max(1));
        let start_call = |(position, endpoint): (usize, &Rc<Endpoint>)| {
            let (node, id, endpoint, confirm) =
                (self.clone(), id.to_string(), endpoint.clone(), confirm.clone());
            self.executor().spawn(async move {
                Timer::after(seconds(position as f64 * RELEASE_CALL_INTERVAL_S)).await;
                let usage = if position > 0 { ConnectionUse::NewConnection } else { ConnectionUse::Control };
                let released = node.send_release(&id, &endpoint, usage).await;
                let _ = confirm.try_send(released);
            })
        };
        // Dropped at the end: calls that are still under way are not awaited.
        let calls: Vec<Task<()>> = endpoints.iter().enumerate().map(start_call).collect();
        drop(confirm);
        let mut released = false;
        while let (false, Ok(confirmed)) = (released, confirmed.recv().await) {
            released = confirmed;
        }
        drop(calls);
        released
    }

    /// One release call. One on a new connection proves that the engine can be reached.
    async fn send_release(&self, id: &str, endpoint: &Endpoint, usage: ConnectionUse) -> bool {
        let target = format!("{}{id}", names::RESERVATIONS_PATH);
        let started_at = self.now();
        let call = ShortCall {
            method: "DELETE",
            target: &target,
            address: &endpoint.address,
            usage,
            timeouts: ResponseTimeouts::total(self.parts.control_timeout_s),
            max_body_bytes: MAX_BODY_BYTES,
        };
        let response = self.parts.pool.call(&call).await;
        let status = response.as_ref().map(|(head, _)| head.status);
        tracing::debug!(
            at = self.now(),
            request = id,
            engine = %endpoint.id,
            ?status,
            new_connection = usage == ConnectionUse::NewConnection,
            after_s = self.now() - started_at,
            "release call"
        );
        status.is_ok_and(|status| status < 300)
    }
}
