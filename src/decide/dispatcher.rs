//! The paper's Dispatcher (section 5, Algorithm 1) for the prefill engines.

use super::decode_engines::{DecodeOutlook, FULL_MEMORY_SHARE};
use super::engine_table::Phase;
use super::prefill::CACHE_SAVING_WEIGHT;
use super::request_table::Stage;
use super::Router;
use crate::interface::RejectionReason;

/// θ of Algorithm 1: lowest probability of meeting the TTFT objective with which a request is admitted.
const MIN_TTFT_PROBABILITY: f64 = 0.5;
/// Loosest TTFT objective for which the token budget is computed.
const MAX_BUDGET_TTFT_S: f64 = 60.0;
/// Mean wait at the prefill engines above which the fleet counts as overloaded, as a fraction of the tightest
/// TTFT objective.
const OVERLOAD_WAIT_FRACTION: f64 = 1.0 / 4.0;
/// Expected duration of a prefill at a decode engine, as a multiple of that at a prefill engine.
const DECODE_ENGINE_PREFILL_MULTIPLE: f64 = 4.0;
/// Width of the probability curve at idle decode engines, as a fraction of the tightest TTFT objective.
const IDLE_SPREAD: f64 = 0.05;
/// Addition to that width at full decode engines, as a fraction of the tightest TTFT objective.
const LOAD_SPREAD: f64 = 0.2;

/// State shared by all requests of a round of decisions.
pub(super) struct DispatchContext {
    now: f64,
    pub(super) prefill_engines: Vec<usize>,
    decode: DecodeOutlook,
    budget_tokens: f64,
    is_overloaded: bool,
}

/// Estimate of a prefill at the chosen engine.
struct PrefillEstimate {
    tokens: f64,
    wait_s: f64,
    prefill_s: f64,
}

/// Prefill engines that a request may go to, and the wait until the first of them is available.
struct Candidates {
    engines: Vec<usize>,
    wait_s: f64,
}

impl Router {
    /// Returns the request queue Q_R of Algorithm 1: ordered by TPOT objective, then by arrival, with
    /// requests over a tenant's quota last.
    pub(super) fn queue_by_objective(&self, open_requests: &[usize]) -> Vec<usize> {
        let is_queued = |request: &usize| self.requests[*request].stage == Stage::Queued;
        let mut queue: Vec<usize> = open_requests.iter().copied().filter(is_queued).collect();
        queue.sort_by(|&x, &y| {
            let key = |index: usize| {
                let request = &self.requests[index];
                let tpot_s = self.objectives.routes[request.route].tpot_objective_s;
                (request.over_quota, tpot_s, request.arrived_at)
            };
            key(x).partial_cmp(&key(y)).unwrap().then(x.cmp(&y))
        });
        queue
    }

    pub(super) fn dispatch_context(&self, now: f64, queue: &[usize]) -> DispatchContext {
        let decode = self.decode_outlook(now);
        let prefill_engines = self.available_engines(Phase::Prefill);
        DispatchContext {
            now,
            budget_tokens: self.prefill_budget(queue),
            is_overloaded: self.is_overloaded(now, &prefill_engines, &decode),
            prefill_engines,
            decode,
        }
    }

    /// Returns the token budget of a prefill batch (equation 5 with E_d = 0, since prefill engines don't
    /// decode): the tokens that can be prefilled within the tightest TTFT objective in the queue, without the
    /// quadratic term of the cost.
    fn prefill_budget(&self, queue: &[usize]) -> f64 {
        let objective_s = |&request: &usize| {
            let request = &self.requests[request];
            request.ttft_deadline - request.arrived_at
        };
        let tightest_s = queue.iter().map(objective_s).fold(MAX_BUDGET_TTFT_S, f64::min);
        let [base_s, s_per_1000_tokens, _] = self.prefill_cost.coefficients;
        ((tightest_s - base_s) / s_per_1000_tokens * 1000.0).max(0.0)
    }

    /// Returns whether the engines of either phase are full. Then a late response would delay others, and the
    /// TTFT objective is the deadline.
    fn is_overloaded(&self, now: f64, prefill_engines: &[usize], decode: &DecodeOutlook) -> bool {
        let waits_s = prefill_engines.iter().map(|&engine| self.estimated_availability(now, engine) - now);
        let mean_wait_s = waits_s.sum::<f64>() / prefill_engines.len().max(1) as f64;
        decode.load >= FULL_MEMORY_SHARE || mean_wait_s > self.objectives.ttft_s * OVERLOAD_WAIT_FRACTION
    }

    /// Main loop of Algorithm 1: scans the queue, and admits and dispatches each request that will likely
    /// meet its objective and fits the budget.
    pub(super) fn admit_and_dispatch(&mut self, context: &DispatchContext, queue: &[usize]) {
        for &request in queue {
            if self.is_awaiting_probe(context.now, request) || self.requests[request].release_pending {
                continue;
            }
            self.admit_or_reject(context, request);
        }
    }

    fn admit_or_reject(&mut self, context: &DispatchContext, request: usize) {
        let candidates = self.earliest_start(context, request);
        if self.is_too_late(context, request, &candidates) {
            let reason = RejectionReason::TooLate {
                admitting: candidates.engines.len() as u32,
                prefill_engines: context.prefill_engines.len() as u32,
                prefill_wait_s: candidates.wait_s,
                decode_wait_s: context.decode.wait_s,
            };
            return self.reject_or_fail(request, reason);
        }
        if candidates.engines.is_empty() {
            return self.prefill_at_decode_engine(context.now, request);
        }
        if candidates.wait_s > 0.0 {
            return;
        }
        let Some(engine) = self.choose_prefill_engine(context.now, request, &candidates.engines) else {
            return;
        };
        let estimate = self.prefill_estimate(context, request, engine);
        let fits = self.fits_budget(context, engine, estimate.tokens);
        if fits && self.ttft_probability(context, request, &estimate) >= MIN_TTFT_PROBABILITY {
            self.dispatch_prefill(context.now, request, engine);
        } else if self.requests[request].over_quota || context.is_overloaded {
            // A request over its quota does not wait for room that others need; under overload no request
            // waits.
            let reason = RejectionReason::ObjectiveUnlikely {
                admitting: candidates.engines.len() as u32,
                prefill_engines: context.prefill_engines.len() as u32,
                prefill_wait_s: estimate.wait_s,
                prefill_s: estimate.prefill_s,
                decode_wait_s: context.decode.wait_s,
            };
            self.reject_or_fail(request, reason);
        }
    }

    /// Returns the head of the worker queue Q_W of Algorithm 1 for one request: the engines that slow start
    /// leaves to it, and the shortest wait until a prefill could start at one of them.
    fn earliest_start(&self, context: &DispatchContext, request: usize) -> Candidates {
        let now = context.now;
        let admits = |&engine: &usize| self.slow_start_admits(now, request, engine);
        let engines: Vec<usize> = context.prefill_engines.iter().copied().filter(admits).collect();
        let wait_s = |engine: &usize| (self.engines[*engine].available_at - now).max(0.0);
        let earliest_s = engines.iter().map(wait_s).min_by(f64::total_cmp).unwrap_or(0.0);
        Candidates { engines, wait_s: earliest_s }
    }

    /// Returns whether a request can't be started before its deadline or has no attempt left. Such a request
    /// is rejected before any prefill.
    fn is_too_late(&self, context: &DispatchContext, request: usize, candidates: &Candidates) -> bool {
        let shortest_s = candidates.wait_s + self.prefill_cost.predict_s(0.0) + context.decode.wait_s;
        let state = &self.requests[request];
        let deadline =
            if context.is_overloaded { state.ttft_deadline.min(state.deadline) } else { state.deadline };
        context.now + shortest_s > deadline || !self.may_retry(context.now, request, None)
    }

    /// Dispatches a request that no prefill engine may take to a decode engine that can also prefill, if
    /// there is one.
    fn prefill_at_decode_engine(&mut self, now: f64, request: usize) {
        if let Some(engine) = self.choose_decode_engine(now, request) {
            let prefill_s = self.prefill_cost.predict_s(self.requests[request].prompt_tokens);
            self.dispatch_decode(now, request, engine, DECODE_ENGINE_PREFILL_MULTIPLE * prefill_s);
        }
    }

    /// Estimates a prefill at an engine. Under overload a long uncached prompt displaces several short ones,
    /// so its duration is weighted more.
    fn prefill_estimate(&self, context: &DispatchContext, request: usize, engine: usize) -> PrefillEstimate {
        let tokens = self.uncached_tokens(engine, request);
        let wait_s = self.estimated_availability(context.now, engine) - context.now;
        let prefill_s = self.prefill_cost.predict_s(tokens);
        let prefill_s = if context.is_overloaded { CACHE_SAVING_WEIGHT * prefill_s } else { prefill_s };
        PrefillEstimate { tokens, wait_s, prefill_s }
    }

    /// Returns whether a prompt fits `token_limit` of Algorithm 1: the budget, capped by the engine's free
    /// tokens. A prompt larger than the budget is dispatched alone to an idle engine.
    fn fits_budget(&self, context: &DispatchContext, engine: usize, tokens: f64) -> bool {
        let engine = &self.engines[engine];
        let used_share = engine.reported_load.memory_share.unwrap_or(0.0);
        let limit = context.budget_tokens.min(engine.memory_tokens * (1.0 - used_share));
        let is_oversized = tokens > context.budget_tokens;
        engine.batch_tokens + tokens <= limit || (is_oversized && engine.attempts_in_flight == 0)
    }

    /// `calculate_p` of Algorithm 1: returns the probability of a first token in time. The curve is wider the
    /// busier the decode engines are. So that requests with a looser objective don't fill the decode engines
    /// until a tighter one can't be met, the wait for a decode engine is compared with at most half the
    /// tightest objective.
    fn ttft_probability(&self, context: &DispatchContext, request: usize, estimate: &PrefillEstimate) -> f64 {
        let request = &self.requests[request];
        let tightest_s = self.objectives.ttft_s;
        let due_at = request.ttft_deadline.min(request.deadline);
        let remaining_s = due_at - context.now - estimate.wait_s - estimate.prefill_s;
        let slack_s = remaining_s.min(tightest_s / 2.0) - context.decode.wait_s;
        let spread_s = tightest_s * (IDLE_SPREAD + LOAD_SPREAD * context.decode.load);
        1.0 / (1.0 + (-slack_s / spread_s).exp())
    }

    /// Dispatches the oldest waiting requests to prefill engines that are available and got none, even if
    /// their probability is below θ. This is not done when the decode engines are full: a request prefilled
    /// then would only wait and make others wait.
    pub(super) fn dispatch_to_idle(&mut self, context: &DispatchContext, queue: &mut Vec<usize>) {
        queue.sort_by(|&x, &y| {
            self.requests[x].arrived_at.total_cmp(&self.requests[y].arrived_at).then(x.cmp(&y))
        });
        let decode_has_room = context.decode.wait_s <= self.objectives.ttft_s / 2.0;
        queue.retain(|&request| decode_has_room && self.requests[request].stage == Stage::Queued);
        for &request in queue.iter() {
            let state = &self.requests[request];
            if state.over_quota || state.release_pending || self.is_awaiting_probe(context.now, request) {
                continue;
            }
            let idle_engines = self.idle_prefill_engines(context, request);
            if let Some(engine) = self.choose_prefill_engine(context.now, request, &idle_engines) {
                self.dispatch_prefill(context.now, request, engine);
            }
        }
    }

    fn idle_prefill_engines(&self, context: &DispatchContext, request: usize) -> Vec<usize> {
        let is_idle = |engine: usize| {
            self.engines[engine].batch_s == 0.0 && self.engines[engine].available_at <= context.now
        };
        let may_get =
            |&engine: &usize| is_idle(engine) && self.slow_start_admits(context.now, request, engine);
        context.prefill_engines.iter().copied().filter(may_get).collect()
    }

    /// Updates the maturity times as in Algorithm 1: a prefill engine is next available when its batch is
    /// done.
    pub(super) fn advance_availability(&mut self, now: f64, prefill_engines: &[usize]) {
        for &engine in prefill_engines {
            let engine = &mut self.engines[engine];
            if engine.batch_s > 0.0 {
                engine.available_at = engine.available_at.max(now) + engine.batch_s;
            }
            engine.batch_s = 0.0;
            engine.batch_tokens = 0.0;
        }
    }
}
