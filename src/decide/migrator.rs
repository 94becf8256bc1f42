//! The paper's Migrator (section 5, "PD-Disaggregated Architecture"): prefilled requests go to decode engines.

use super::request_table::{Attempt, Stage};
use super::Router;
use crate::interface::RejectionReason;

impl Router {
    /// Sends each request whose prefill has ended to the decode engine that is available first, at once.
    pub(super) fn dispatch_reserved(&mut self, now: f64, open_requests: &[usize]) {
        for &request in open_requests {
            if self.requests[request].stage == Stage::Reserved {
                self.dispatch_one_reserved(now, request);
            }
        }
    }

    /// A reservation that can't be used in its time is not kept; with no attempt left it never will be.
    fn dispatch_one_reserved(&mut self, now: f64, request: usize) {
        let is_unusable = self.is_reservation_stale(now, request) || !self.may_retry(now, request, None);
        let is_too_late = self.is_too_late_after_failed_connection(now, request);
        match self.choose_decode_engine(now, request) {
            Some(engine) if !is_too_late => self.dispatch_decode(now, request, engine, 0.0),
            None if !is_unusable => {}
            _ => self.reject_or_fail(request, RejectionReason::ReservationExpired),
        }
    }

    /// Whether an attempt under this reservation was not delivered and there is no time for a second failure.
    fn is_too_late_after_failed_connection(&self, now: f64, request: usize) -> bool {
        let reserved_since = self.requests[request].reserved_since;
        let failed =
            |attempt: &Attempt| attempt.is_undelivered_decode() && attempt.dispatched_at >= reserved_since;
        now > self.last_decode_dispatch_at(request) && self.requests[request].attempts.iter().any(failed)
    }
}
