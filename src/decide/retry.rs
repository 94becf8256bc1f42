//! Retries as allowed by the idempotency of the model route, and the time limits of reservations.

use super::request_table::{DecodeStart, Stage};
use super::Router;
use crate::interface::{Idempotency, IdempotencyScope, RejectionReason, RequestHandle};

impl Router {
    /// Returns whether a further attempt is allowed: at the given decode engine or, if it is `None`, at any
    /// engine.
    pub(super) fn may_retry(&self, now: f64, request: usize, decode_engine: Option<usize>) -> bool {
        let request = &self.requests[request];
        let needs_prefill = request.reservation.is_none() && decode_engine.is_none();
        let attempts_needed = if needs_prefill { 2 } else { 1 };
        if request.attempts.len() + attempts_needed > self.limits.max_attempts {
            return false;
        }
        match (request.first_decode, self.objectives.routes[request.route].idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => true,
            (_, Idempotency::NonIdempotent) => false,
            (Some(first), Idempotency::Keyed { scope, window_s }) => {
                // A second prefill may lead to engines outside the scope. It counts as an attempt, too.
                let in_scope = match decode_engine {
                    Some(engine) => self.is_in_scope(scope, engine, first),
                    None => !needs_prefill || scope == IdempotencyScope::All,
                };
                self.is_within_window(now, first, window_s) && in_scope
            }
        }
    }

    /// Returns whether an engine drops repeats of a request that ran at the engine of the first decode
    /// attempt.
    fn is_in_scope(&self, scope: IdempotencyScope, engine: usize, first: DecodeStart) -> bool {
        let (engine, first) = (&self.engines[engine], &self.engines[first.engine]);
        match scope {
            IdempotencyScope::All => true,
            IdempotencyScope::Zone => engine.zone == first.zone,
            IdempotencyScope::Cell => engine.cell == first.cell,
        }
    }

    /// Returns whether the engines certainly still remember the first decode attempt when a further one
    /// arrives. The bytes of that one may be sent only after a connection has been established.
    fn is_within_window(&self, now: f64, first: DecodeStart, window_s: f64) -> bool {
        now + self.objectives.ttft_s + self.limits.connect_timeout_s < first.at + window_s
    }

    /// Returns until when a reserved request may be dispatched. The rest of the reservation's time is kept
    /// for an attempt that fails to connect and for a first release call that fails to connect.
    pub(super) fn last_decode_dispatch_at(&self, request: usize) -> f64 {
        let limit_s = self.limits.reservation_limit_s;
        let usable_s = (limit_s / 2.0).min(limit_s - 2.0 * self.limits.connect_timeout_s);
        self.requests[request].reserved_since + usable_s
    }

    /// Returns whether the rest of a reservation's time is too short for one more attempt.
    pub(super) fn is_reservation_stale(&self, now: f64, request: usize) -> bool {
        now >= self.last_decode_dispatch_at(request)
    }

    /// Reports that a reservation's time is over and that the reservation is released even if an attempt is
    /// in flight. A decode that has begun is not affected by the release.
    pub fn reservation_expired(&mut self, now: f64, request: RequestHandle) {
        let index = request.0 as usize;
        self.requests[index].reservation = None;
        if self.requests[index].stage == Stage::Reserved {
            self.requests[index].stage = Stage::Queued;
            if !self.may_retry(now, index, None) {
                self.reject_or_fail(index, RejectionReason::ReservationExpired);
            }
        }
    }

    /// Sets whether a release of earlier reservations is unconfirmed. While it is, the request is not
    /// prefilled.
    pub fn set_release_pending(&mut self, request: RequestHandle, is_pending: bool) {
        self.requests[request.0 as usize].release_pending = is_pending;
    }
}
