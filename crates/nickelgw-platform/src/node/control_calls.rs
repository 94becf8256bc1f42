//! Calls to engines that do not carry a client's request: probes and releases of reservations.

use super::Node;
use crate::core::{engine, names, MAX_BODY_BYTES};
use crate::pool::{ConnectionUse, ShortCall};
use nickelgw_node_core::{AttemptOutcome, Endpoint, ReleaseCall, ReleaseConnection, ReleaseOutcome};
use std::rc::Rc;

impl Node {
    /// Probes an engine and passes its response to the core.
    pub(super) async fn probe(self: Rc<Self>, endpoint: Rc<Endpoint>) {
        let call = ShortCall {
            method: "GET",
            target: self.parts.probe_path,
            address: &endpoint.address,
            usage: ConnectionUse::Control,
            max_body_bytes: MAX_BODY_BYTES,
            reads_body_to_end: false,
        };
        let (outcome, load) = match self.parts.pool.call_within(self.parts.control_timeout_s, &call).await {
            Err(outcome) => (outcome, None),
            Ok((head, body)) => {
                let text = std::str::from_utf8(&body).ok();
                let load_in_body = text.and_then(|text| engine::parse_load_report(text.trim()));
                let outcome = match head.status {
                    200 => AttemptOutcome::Completed,
                    // The engine responds, but has no capacity now.
                    503 => AttemptOutcome::Rejected,
                    status => AttemptOutcome::ErrorStatus(status),
                };
                (outcome, head.load.or(load_in_body))
            }
        };
        self.core.borrow_mut().probe_finished(self.now(), &endpoint.id, outcome, load);
        self.wake();
    }

    /// Makes one call that releases all reservations of a request at an engine, and passes the result to the
    /// core.
    pub(super) async fn release(self: Rc<Self>, call: ReleaseCall) {
        let id = &call.reservation.name;
        let target = format!("{}{id}", names::RESERVATIONS_PATH);
        let started_at = self.now();
        let short_call = ShortCall {
            method: "DELETE",
            target: &target,
            address: &call.endpoint.address,
            usage: match call.connection {
                ReleaseConnection::Any => ConnectionUse::Control,
                ReleaseConnection::New => ConnectionUse::NewConnection,
            },
            max_body_bytes: MAX_BODY_BYTES,
            reads_body_to_end: false,
        };
        let response = self.parts.pool.call_within(self.parts.control_timeout_s, &short_call).await;
        let status = response.map(|(head, _)| head.status);
        tracing::debug!(
            at = self.now(),
            request = %id,
            engine = %call.endpoint.id,
            ?status,
            new_connection = call.connection == ReleaseConnection::New,
            after_s = self.now() - started_at,
            "release call"
        );
        let outcome = match status {
            Ok(status) if status < 300 => ReleaseOutcome::Confirmed,
            Ok(_) => ReleaseOutcome::Refused,
            Err(_) => ReleaseOutcome::Unanswered,
        };
        self.core.borrow_mut().release_finished(self.now(), call.id, outcome);
        self.wake();
    }
}
