//! Ends of requests: final answers, clients that disconnect, and the node's shutdown.

use crate::commands::{Command, FailureReason, FinalAnswer, RequestId};
use crate::node_core::NodeCore;
use crate::request_table::RequestStage;
use crate::trace::TraceEvent;
use nickelgw::interface::RequestHandle;

/// Which requests a shutdown fails.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ShutdownScope {
    /// Those without a first token.
    Unstarted,
    /// All.
    All,
}

impl NodeCore {
    /// No more requests are accepted.
    pub fn stop_accepting(&mut self) {
        self.shutting_down = true;
    }

    /// The drain timeout is over: each open request gets its final answer, and no further attempt is made.
    pub fn fail_all_open(&mut self, now: f64) {
        self.fail_open(now, ShutdownScope::All);
    }

    /// Each request without a first token gets its final answer; streams go on.
    pub fn fail_unstarted(&mut self, now: f64) {
        self.fail_open(now, ShutdownScope::Unstarted);
    }

    /// The client has disconnected: its attempts in flight are cancelled.
    pub fn client_disconnected(&mut self, now: f64, request: RequestId) {
        if self.finish_disconnected(now, request) {
            self.cancel_attempts(request);
            self.router.client_disconnected(RequestHandle(request.slot));
            self.ledger.release_all(now, request.serial);
        }
    }

    /// Ends the request as abandoned by its client; false: it was over before.
    pub(crate) fn finish_disconnected(&mut self, now: f64, request: RequestId) -> bool {
        if !self.finish(now, request, TraceEvent::ClientDisconnected) {
            return false;
        }
        self.counters.disconnected += 1;
        true
    }

    /// Gives the request its final answer, if it has none.
    pub(crate) fn answer(&mut self, now: f64, request: RequestId, answer: FinalAnswer) {
        if !self.finish(now, request, TraceEvent::Answered(answer)) {
            return;
        }
        match answer {
            FinalAnswer::Completed => self.counters.completed += 1,
            FinalAnswer::Rejected { .. } => self.counters.rejected += 1,
            FinalAnswer::Failed(_) => self.counters.failed += 1,
        }
        // Attempts end before the client is told: rejected beside one in flight, the request might still run.
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
            // Where clients are told no Retry-After, a shutdown tells none either.
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

    /// The request is over from now on; false: it was before.
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
            // Answered before its first token: too much was open.
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

    /// The attempts in flight of a request that is over are cancelled.
    fn cancel_attempts(&mut self, request: RequestId) {
        let Some(open) = self.requests.get(request) else { return };
        let in_flight = open.attempts.iter().enumerate().filter(|(_, attempt)| attempt.in_flight);
        let cancel = |(number, _)| Command::CancelAttempt { request, attempt: number as u32 };
        self.pending_commands.extend(in_flight.map(cancel));
    }
}
