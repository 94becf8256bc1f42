//! All routing decisions of a node: which engine prefills a request, which one decodes it, and which requests
//! are rejected.
//!
//! Callers create a [`Router`] from a [`Deployment`], report events as method calls
//! ([`Router::admit_request`] returns the handle under which all later events of that request are reported)
//! and, after each batch of events, carry out the [`Decisions`] that [`Router::decide`] returns. The types
//! exchanged are in [`crate::interface`].
//!
//! [`Router::decide`] is the dispatcher of "HyperFlexis: Joint Design of Algorithms and Systems for Multi-SLO
//! Serving and Fast Scaling", section 5 and Algorithm 1, for separate prefill and decode engines. The paper's
//! maturity time of a worker is called `available_at` here. `docs/design.md` lists each deviation from the
//! paper.
//!
//! | step | module |
//! | --- | --- |
//! | events of requests and attempts | `admission`, `attempts`, `endpoints`, `probes` |
//! | steps of `decide` | `averages`, `deadlines`, `migrator`, `dispatcher`, `dispatch` |
//! | choice of engines | `prefill`, `prefill_cost`, `prefix_affinity`, `decode_engines`, `load` |
//! | retries and ends of requests | `retry`, `completion` |
//! | protection of engines and tenants | `health`, `slow_start`, `zone_weights`, `tenant_quotas` |
//! | state | `engine_table`, `request_table`, `settings`, `learned_state` |

use crate::interface::*;
use nanorand::{Rng, WyRand};

mod admission;
mod attempts;
mod averages;
mod completion;
mod deadlines;
mod decode_engines;
mod dispatch;
mod dispatcher;
mod endpoints;
mod engine_table;
mod hash;
mod health;
mod learned_state;
mod load;
mod migrator;
mod prefill;
mod prefill_cost;
mod prefix_affinity;
mod probes;
mod request_table;
mod retry;
mod settings;
mod slow_start;
mod tenant_quotas;
mod token_bucket;
mod zone_weights;

use averages::Averages;
use endpoints::EndpointPoll;
use engine_table::EngineTable;
use prefill_cost::PrefillCost;
use prefix_affinity::PrefixAffinity;
use request_table::RequestTable;
use settings::{Limits, Locality, Objectives};
use slow_start::SlowStart;
use tenant_quotas::TenantQuotas;
use zone_weights::ZoneWeights;

/// The decision module of one node: a sans-I/O state machine without clock, sockets or threads.
#[derive(Default)]
pub struct Router {
    limits: Limits,
    objectives: Objectives,
    locality: Locality,
    tenant_quotas: TenantQuotas,
    slow_start: SlowStart,
    zone_weights: ZoneWeights,
    affinity: PrefixAffinity,
    averages: Averages,
    prefill_cost: PrefillCost,
    endpoint_poll: EndpointPoll,
    engines: EngineTable,
    requests: RequestTable,
    random: WyRand,
    /// Decisions made since the last call of [`Router::decide`].
    decisions: Decisions,
}

impl Router {
    /// Creates a router that knows no engine yet.
    pub fn new(deployment: Deployment) -> Self {
        let objectives = Objectives::new(&deployment.routes);
        let prefill_base_s = objectives.tpot_s / 2.0;
        let prefill_s_per_1000_tokens = objectives.prefill_s_per_1000_tokens();
        Router {
            limits: Limits::new(&deployment),
            locality: Locality::new(&deployment, objectives.ttft_s),
            tenant_quotas: TenantQuotas::new(&deployment),
            slow_start: SlowStart::new(&deployment),
            averages: Averages::new(objectives.tpot_s, prefill_base_s + prefill_s_per_1000_tokens),
            prefill_cost: PrefillCost::new(prefill_base_s, prefill_s_per_1000_tokens),
            endpoint_poll: EndpointPoll::new(deployment.must_poll_endpoints),
            random: WyRand::new_seed(deployment.seed),
            objectives,
            ..Router::default()
        }
    }

    /// Returns what to do after a batch of events: one round of the paper's Algorithm 1.
    pub fn decide(&mut self, now: f64) -> Decisions {
        self.update_averages(now);
        self.enforce_deadlines(now);
        let open_requests = self.requests.open().to_vec();
        self.dispatch_reserved(now, &open_requests);
        let mut queue = self.queue_by_objective(&open_requests);
        let context = self.dispatch_context(now, &queue);
        self.admit_and_dispatch(&context, &queue);
        self.dispatch_to_idle(&context, &mut queue);
        self.advance_availability(now, &context.prefill_engines);
        self.poll_endpoints_if_due(now);
        self.decisions.wake_at = self.next_wake(now);
        self.requests.release(&self.decisions.closed);
        std::mem::take(&mut self.decisions)
    }

    /// Returns when an attempt was dispatched; the request must not be closed.
    pub fn dispatched_at(&self, request: RequestHandle, attempt: u32) -> f64 {
        self.requests[request.0 as usize].attempts[attempt as usize].dispatched_at
    }

    /// Returns the id of an engine as given by the endpoint list.
    pub fn engine_id(&self, engine: EngineHandle) -> &str {
        &self.engines[engine.0 as usize].id
    }

    /// Returns a random number from 0 to 1.
    fn random_fraction(&mut self) -> f64 {
        self.random.generate::<u32>() as f64 / u32::MAX as f64
    }
}

#[cfg(test)]
mod tests;
