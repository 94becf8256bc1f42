//! Tests of the decision module, with the fixtures that they share.

use super::engine_table::Phase;
use super::hash::hash;
use super::prefix_affinity::RECENT_ARRIVALS;
use super::request_table::{Attempt, AttemptState, DecodeStart, Request, Stage};
use super::*;

const NOW: f64 = 100.0;

fn deployment(idempotency: Idempotency) -> Deployment {
    let route = |tpot_objective_s| ModelRoute {
        ttft_objective_s: 1.0,
        ttft_objective_per_token_s: 1e-5,
        tpot_objective_s,
        idempotency,
    };
    Deployment {
        node: 0,
        node_count: 2,
        seed: 7,
        zone: 0,
        tick_s: 0.004,
        routes: vec![route(0.08), route(0.05)],
        tenant_quotas: vec![1.0],
        max_attempts: 6,
        decode_engines_prefill: false,
        reservation_limit_s: 0.5,
        connect_timeout_s: 0.0,
        cross_cell_price: 0.04,
        cross_zone_price: 0.01,
        can_cancel: true,
        can_probe: true,
        must_poll_endpoints: false,
        max_retry_after_s: Some(2.0),
        slow_start_initial_share: 0.3,
        warmup_s: 10.0,
        overload_multiple: 3.0,
        overload_window_s: 2.0,
    }
}

fn entry(id: &str, role: EngineRole, zone: u32, cell: u32) -> EngineEntry {
    EngineEntry {
        id: id.into(),
        zone,
        cell,
        role,
        memory_tokens: 100_000.0,
        lifecycle: Lifecycle::Active,
        started_at: None,
    }
}

/// Creates a router with two prefill engines (0 and 1) and three decode engines: 2 in the cell of prefill
/// engine 0, 3 in its zone, 4 in another zone.
fn new_router(idempotency: Idempotency) -> Router {
    let mut router = Router::new(deployment(idempotency));
    let entries = [
        entry("r0", EngineRole::Prefill, 0, 0),
        entry("r1", EngineRole::Prefill, 0, 1),
        entry("w2", EngineRole::Decode, 0, 0),
        entry("w3", EngineRole::Decode, 0, 1),
        entry("w4", EngineRole::Decode, 1, 2),
    ];
    router.update_endpoints(NOW, &entries, true);
    // All engines have just reported that they are idle.
    router.engines.iter_mut().for_each(|engine| engine.reported_at = NOW);
    router
}

fn request(stage: Stage) -> Request {
    Request {
        stage,
        arrived_at: NOW,
        ttft_deadline: NOW + 1.0,
        deadline: NOW + 5.0,
        prompt_tokens: 2000.0,
        session_hash: 1,
        ..Request::default()
    }
}

fn arrival() -> IncomingRequest {
    IncomingRequest {
        route: 0,
        tenant: None,
        arrived_at: NOW,
        deadline: NOW + 5.0,
        prompt_tokens: 2000.0,
        prefix_tokens: 0.0,
        session: "s".into(),
        prefix: None,
        is_background: false,
    }
}

/// Inserts a request into the router's table and returns its index.
fn insert(router: &mut Router, request_state: Request) -> usize {
    let affinity_engines = router.affinity_engines(&request_state);
    router.requests.insert(Request { affinity_engines, ..request_state }).0 as usize
}

/// Returns an attempt in flight at the engine, and counts it there.
fn attempt(router: &mut Router, engine: usize, phase: Phase) -> Attempt {
    router.engines[engine].attempts_in_flight += 1;
    Attempt {
        engine,
        phase,
        state: AttemptState::InFlight,
        dispatched_at: NOW,
        requests_ahead: 0.0,
        expected_s: 0.1,
    }
}

fn attempt_end(outcome: Outcome) -> AttemptEnd {
    AttemptEnd {
        outcome,
        elapsed_s: 0.1,
        request_finished: false,
        cached_tokens: 0.0,
        reservation_missing: false,
    }
}

fn dispatched_engines(decisions: &Decisions) -> Vec<u32> {
    decisions.dispatches.iter().map(|dispatch| dispatch.engine.0).collect()
}

const KEYED_BY_ZONE: Idempotency = Idempotency::Keyed { scope: IdempotencyScope::Zone, window_s: 5.0 };
const KEYED_EVERYWHERE: Idempotency = Idempotency::Keyed { scope: IdempotencyScope::All, window_s: 5.0 };

/// Creates a router with a queued request that has a loose objective, and with overfull decode engines.
fn loose_objective_under_overload() -> Router {
    let mut router = new_router(Idempotency::Idempotent);
    router.averages.mean_prompt_tokens = 2000.0;
    insert(&mut router, Request { ttft_deadline: NOW + 4.0, ..request(Stage::Queued) });
    router.engines[2..]
        .iter_mut()
        .for_each(|engine| (engine.reported_load.memory_share, engine.reported_at) = (Some(1.2), NOW));
    router
}

mod admission;
mod attempts;
mod completion;
mod deadlines;
mod dispatcher;
mod endpoints;
mod health;
mod load;
mod migrator;
mod prefill;
mod prefill_cost;
mod prefix_affinity;
mod probes;
mod retry;
mod slow_start;
mod zone_weights;
