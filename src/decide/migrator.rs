//! The paper's Migrator (section 5, "PD-Disaggregated Architecture"): dispatches prefilled requests to decode
//! engines.

use super::request_table::{Attempt, Stage};
use super::Router;
use crate::interface::RejectionReason;

impl Router {
    /// Dispatches each request whose prefill has ended, immediately, to the decode engine where it can start
    /// first.
    pub(super) fn dispatch_reserved(&mut self, now: f64, open_requests: &[usize]) {
        for &request in open_requests {
            if self.requests[request].stage == Stage::Reserved {
                self.dispatch_one_reserved(now, request);
            }
        }
    }

    /// Dispatches one reserved request. It is rejected, and its reservation released, if the reservation
    /// can't be used in time or no attempt is left.
    fn dispatch_one_reserved(&mut self, now: f64, request: usize) {
        let is_unusable = self.is_reservation_stale(now, request) || !self.may_retry(now, request, None);
        let is_too_late = self.is_too_late_after_failed_connection(now, request);
        match self.choose_decode_engine(now, request) {
            Some(engine) if !is_too_late => self.dispatch_decode(now, request, engine, 0.0),
            None if !is_unusable => {}
            _ => self.reject_or_fail(request, RejectionReason::ReservationExpired),
        }
    }

    /// Returns whether an attempt under this reservation was not delivered and there is no time left for a
    /// second failure.
    fn is_too_late_after_failed_connection(&self, now: f64, request: usize) -> bool {
        let reserved_since = self.requests[request].reserved_since;
        let failed =
            |attempt: &Attempt| attempt.is_undelivered_decode() && attempt.dispatched_at >= reserved_since;
        now > self.last_decode_dispatch_at(request) && self.requests[request].attempts.iter().any(failed)
    }
}
