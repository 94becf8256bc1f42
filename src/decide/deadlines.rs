//! Deadlines of requests, and overdue attempts.

use super::request_table::AttemptState;
use super::Router;
use crate::interface::{RejectionReason, RequestHandle};

/// Fraction of the tightest TTFT objective that serves as grace time: how long an attempt may exceed its
/// expected time, how long an engine is silent before an attempt is cancelled, and how old the report of an
/// engine with an overdue attempt may be before the engine is probed.
const GRACE_FRACTION: f64 = 1.0 / 4.0;
/// Time to the next regular round of decisions, in ticks.
const WAKE_TICKS: f64 = 4.0;
/// Shortest time to the next regular round of decisions, in seconds.
const MIN_WAKE_S: f64 = 0.01;

impl Router {
    /// Rejects requests at their deadline, cancels attempts at unreachable engines, and records overdue
    /// attempts as failures of their engines before the outcome is known.
    pub(super) fn enforce_deadlines(&mut self, now: f64) {
        for request in self.requests.open().to_vec() {
            // The rejection is sent a tick before the client's deadline.
            if now + self.limits.tick_s >= self.requests[request].deadline {
                self.reject_or_fail(request, RejectionReason::DeadlineExceeded);
                continue;
            }
            for attempt in 0..self.requests[request].attempts.len() {
                self.check_attempt(now, request, attempt);
            }
        }
    }

    fn check_attempt(&mut self, now: f64, request: usize, number: usize) {
        let attempt = self.requests[request].attempts[number];
        if !attempt.is_in_flight() {
            return;
        }
        let engine = &self.engines[attempt.engine];
        let silent_s = now - attempt.dispatched_at.max(engine.last_response_at);
        let warmup = self.warmup_fraction(now, attempt.engine);
        let grace_s = self.objectives.ttft_s * GRACE_FRACTION;
        let is_cut_off =
            engine.unreachable_since(attempt.dispatched_at) || self.zone_weights.weight(engine.zone) == 0.0;
        if self.limits.can_cancel && is_cut_off && silent_s > grace_s {
            self.decisions.cancelled.push((RequestHandle(request as u32), number as u32));
        }
        let is_overdue = silent_s > (attempt.expected_s + grace_s) / warmup;
        if is_overdue && attempt.state != AttemptState::Overdue {
            // A slow engine's failures show late, so it is counted as failing now and is probed. An engine in
            // slow start is probed only rarely.
            self.requests[request].attempts[number].state = AttemptState::Overdue;
            self.record_failure(now, attempt.engine);
            let may_probe_warming = self.random_fraction() < warmup.powi(4);
            self.probe_if_stale(now, attempt.engine, grace_s, may_probe_warming);
        }
    }

    /// Returns when the next round of decisions is due: the last step of Algorithm 1, with a further round
    /// before the first deadline.
    pub(super) fn next_wake(&self, now: f64) -> Option<f64> {
        let open_requests = self.requests.open();
        if open_requests.is_empty() {
            return self.endpoint_poll.next_at();
        }
        // The round is due no later than a tick before the first client's deadline.
        let answer_by = |&request: &usize| self.requests[request].deadline - self.limits.tick_s;
        let regular = now + (WAKE_TICKS * self.limits.tick_s).max(MIN_WAKE_S);
        Some(open_requests.iter().map(answer_by).fold(regular, f64::min))
    }
}
