//! Arrivals of requests, and disconnects of clients.

use super::hash::hash;
use super::request_table::{Request, Stage};
use super::Router;
use crate::interface::{IncomingRequest, RequestHandle};

/// Salt of session hashes.
const SESSION_SALT: u64 = 1;
/// Salt of prefix hashes.
const PREFIX_SALT: u64 = 2;

impl Router {
    /// Admits a request to the queue (the paper's `OnRequestArrive`) and returns its handle.
    pub fn admit_request(&mut self, now: f64, incoming: &IncomingRequest) -> RequestHandle {
        self.averages.record_prompt(incoming.prompt_tokens);
        let route = &self.objectives.routes[incoming.route];
        let ttft_deadline = incoming.arrived_at
            + route.ttft_objective_s
            + route.ttft_objective_per_token_s * incoming.prompt_tokens;
        // A background request waits behind the others like one over a quota, and counts against no quota.
        let over_quota = incoming.is_background
            || incoming.tenant.is_some_and(|tenant| self.tenant_quotas.is_over_quota(now, tenant));
        let mut request = Request {
            route: incoming.route,
            arrived_at: incoming.arrived_at,
            ttft_deadline,
            deadline: incoming.deadline,
            prompt_tokens: incoming.prompt_tokens,
            prefix_tokens: incoming.prefix_tokens,
            session_hash: hash(&incoming.session, SESSION_SALT),
            prefix_hash: incoming.prefix.as_deref().map_or(0, |prefix| hash(prefix, PREFIX_SALT)),
            over_quota,
            ..Request::default()
        };
        request.affinity_engines = self.affinity_engines(&request);
        request.slow_start_draw = self.slow_start_draw(now);
        self.probe_on_arrival(now, request.affinity_engines.first().copied());
        self.affinity.record_arrival(request.prefix_hash);
        self.requests.insert(request)
    }

    /// Reports that the client has disconnected, which finishes its request.
    pub fn client_disconnected(&mut self, request: RequestHandle) {
        if self.requests[request.0 as usize].stage != Stage::Closed {
            self.finish(request.0 as usize);
        }
    }
}
