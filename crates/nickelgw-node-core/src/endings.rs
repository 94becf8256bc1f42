//! How requests end: by a final answer, a client that disconnects, or the node's shutdown.

use crate::commands::{Command, FailureReason, FinalAnswer, RequestId};
use crate::node_core::NodeCore;
use crate::request_table::RequestStage;
use crate::trace::TraceEvent;
use nickelgw::interface::RequestHandle;

/// Which requests a shutdown fails.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ShutdownScope {
    /// Requests without a first token.
    Unstarted,
    /// All open requests.
    All,
}

impl NodeCore {
    /// Rejects new requests from now on.
    pub fn stop_accepting(&mut self) {
        self.shutting_down = true;
    }

    /// Gives each open request its final answer and makes no further attempts. Called when the drain timeout
    /// is over.
    pub fn fail_all_open(&mut self, now: f64) {
        self.fail_open(now, ShutdownScope::All);
    }

    /// Gives each request without a first token its final answer; streams continue.
    pub fn fail_unstarted(&mut self, now: f64) {
        self.fail_open(now, ShutdownScope::Unstarted);
    }

    /// Ends the request after its client has disconnected, and cancels its attempts in flight.
    pub fn client_disconnected(&mut self, now: f64, request: RequestId) {
        if self.finish_disconnected(now, request) {
            self.cancel_attempts(request);
            self.router.client_disconnected(RequestHandle(request.slot));
            self.ledger.release_all(now, request.serial);
        }
    }

    /// Ends the request as disconnected by its client; returns `false` if it had already ended.
    pub(crate) fn finish_disconnected(&mut self, now: f64, request: RequestId) -> bool {
        if !self.finish(now, request, TraceEvent::ClientDisconnected) {
            return false;
        }
        self.counters.disconnected += 1;
        true
    }

    /// Gives the request its final answer unless it has already ended.
    pub(crate) fn answer(&mut self, now: f64, request: RequestId, answer: FinalAnswer) {
        if !self.finish(now, request, TraceEvent::Answered(answer)) {
            return;
        }
        match answer {
            FinalAnswer::Completed => self.counters.completed += 1,
            FinalAnswer::Rejected { .. } => self.counters.rejected += 1,
            FinalAnswer::Failed(_) => self.counters.failed += 1,
        }
        // Attempts are cancelled before the client is told: a request that is rejected while an attempt is in
        // flight might still run.
        self.cancel_attempts(request);
        self.pending_commands.push(Command::Answer { request, answer });
    }

    fn fail_open(&mut self, now: f64, scope: ShutdownScope) {
        self.shutting_down = true;
        for request in self.requests.ids() {
            let Some(open) = self.requests.get(request).filter(|open| !open.is_finished()) else { continue };
            if scope == ShutdownScope::Unstarted && open.stage != RequestStage::Waiting {
                continue;
            }
            // No Retry-After is sent at a shutdown if none is sent otherwise.
            let retry_after_s = self.max_retry_after_s.map(|max_s| max_s.min(self.config.retry_after_s));
            let answer = if open.is_retry_safe(self.can_cancel) {
                FinalAnswer::Rejected { retry_after_s }
            } else {
                FinalAnswer::Failed(FailureReason::ShuttingDown)
            };
            self.answer(now, request, answer);
            self.router.client_disconnected(RequestHandle(request.slot));
            self.ledger.release_all(now, request.serial);
        }
    }

    /// Marks the request as finished; returns `false` if it already was.
    fn finish(&mut self, now: f64, request: RequestId, ending: TraceEvent) -> bool {
        let Some(open) = self.requests.get_mut(request).filter(|open| !open.is_finished()) else {
            return false;
        };
        let had_started = open.stage != RequestStage::Waiting;
        open.stage = RequestStage::Finished;
        let tenant = open.tenant;
        let trace = open.trace.take();
        self.unary_deadlines.remove(open.unary_deadline - self.tick_s, request);
        self.open_requests -= 1;
        if let Some(open) = tenant.and_then(|tenant| self.open_by_tenant.get_mut(tenant)) {
            *open -= 1;
        }
        if let Some((tenant, _)) = self.tenant_weight(tenant) {
            self.fair_share.request_closed(tenant);
            // An answer without a first token shows that too many requests were open.
            if !had_started && matches!(ending, TraceEvent::Answered(_)) {
                self.concurrency_limit.record_answer(now, self.open_requests, true);
            }
        }
        if let Some(mut trace) = trace {
            trace.add(now, ending);
            self.traces.push(trace);
        }
        true
    }

    /// Cancels the attempts in flight of a finished request.
    fn cancel_attempts(&mut self, request: RequestId) {
        let Some(open) = self.requests.get(request) else { return };
        let in_flight = open.attempts.iter().enumerate().filter(|(_, attempt)| attempt.in_flight);
        let cancel = |(number, _)| Command::CancelAttempt { request, attempt: number as u32 };
        self.pending_commands.extend(in_flight.map(cancel));
    }
}
