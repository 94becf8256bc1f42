//! Converts the decisions of the decision module into commands for the shell.

use crate::commands::{Command, CommandBatch, Endpoint, FailureReason, FinalAnswer, ReleaseCall, RequestId};
use crate::guard::Violation;
use crate::node_core::NodeCore;
use crate::trace::TraceEvent;
use nickelgw::decide::Router;
use nickelgw::interface::{Decisions, EngineHandle, EngineRole, Outcome, RejectionReason, RequestHandle};
use std::collections::HashMap;
use std::rc::Rc;

/// Number of engines that a release is tried at before it is retried later.
const RELEASE_ENDPOINTS: usize = 4;

/// A request that fails within this many ticks before its deadline counts as having exceeded the deadline.
const DEADLINE_SLACK_TICKS: f64 = 2.0;

impl NodeCore {
    /// Returns the commands to carry out after a batch of events, and when to poll again.
    pub fn poll_commands(&mut self, now: f64) -> CommandBatch {
        self.fail_expired_unary(now);
        let decisions = self.router.decide(now);
        let mut commands = std::mem::take(&mut self.pending_commands);
        self.apply_cancellations(&decisions, &mut commands);
        for dispatch in &decisions.dispatches {
            self.dispatch(now, dispatch, &mut commands);
        }
        let reasons = self.trace_reasons(now, &decisions);
        self.apply_rejections(now, &decisions);
        self.apply_failures(now, &decisions);
        self.apply_releases(now, &decisions);
        self.apply_probes(now, &decisions, &mut commands);
        if decisions.poll_endpoints {
            commands.push(Command::PollEndpoints);
        }
        self.apply_closed(now, &decisions, &mut commands);
        let release_at = self.poll_release_calls(now, &mut commands);
        let (orphan_calls, cleanup_at) = self.orphan_cleanup.poll_calls(now);
        commands.extend(orphan_calls.into_iter().map(Command::ReleaseOrphans));
        for owner in self.ledger.take_overdue(now) {
            self.guard.count(Violation::ReservationOverdue, owner);
        }
        let wakeups = [decisions.wake_at, release_at, cleanup_at, self.unary_deadlines.next()];
        CommandBatch {
            commands,
            reasons,
            transitions: self.ledger.take_transitions(),
            violations: self.guard.take_violations(),
            wake_at: wakeups.into_iter().flatten().min_by(f64::total_cmp),
        }
    }

    fn fail_expired_unary(&mut self, now: f64) {
        while let Some(request) = self.unary_deadlines.pop_expired(now) {
            self.answer(now, request, FinalAnswer::Failed(FailureReason::DeadlineExceeded));
        }
    }

    fn apply_cancellations(&self, decisions: &Decisions, commands: &mut Vec<Command>) {
        for &(handle, attempt) in &decisions.cancelled {
            if let Some(request) = self.requests.id_of(handle) {
                commands.push(Command::CancelAttempt { request, attempt });
            }
        }
    }

    fn trace_reasons(&mut self, now: f64, decisions: &Decisions) -> Vec<(RequestId, RejectionReason)> {
        let known = decisions
            .reasons
            .iter()
            .filter_map(|&(handle, reason)| Some((self.requests.id_of(handle)?, reason)));
        let reasons: Vec<(RequestId, RejectionReason)> = known.collect();
        for &(request, reason) in &reasons {
            self.trace_event(now, request, TraceEvent::Rejected(reason));
        }
        reasons
    }

    fn apply_rejections(&mut self, now: f64, decisions: &Decisions) {
        for &(handle, retry_after_s) in &decisions.rejected {
            if let Some(request) = self.requests.id_of(handle) {
                self.answer(now, request, FinalAnswer::Rejected { retry_after_s });
            }
        }
    }

    fn apply_failures(&mut self, now: f64, decisions: &Decisions) {
        for &handle in &decisions.failed {
            let Some(request) = self.requests.id_of(handle) else { continue };
            let deadline = self.requests.get(request).map_or(f64::INFINITY, |open| open.deadline);
            let reason = if now + DEADLINE_SLACK_TICKS * self.tick_s >= deadline {
                FailureReason::DeadlineExceeded
            } else {
                FailureReason::AttemptsFailed
            };
            self.answer(now, request, FinalAnswer::Failed(reason));
        }
    }

    fn apply_releases(&mut self, now: f64, decisions: &Decisions) {
        for &handle in &decisions.released {
            if let Some(request) = self.requests.id_of(handle) {
                self.ledger.release_all(now, request.serial);
                self.update_release_pending(request);
            }
        }
    }

    fn apply_probes(&mut self, now: f64, decisions: &Decisions, commands: &mut Vec<Command>) {
        for &engine in &decisions.probes {
            let id = self.router.engine_id(engine);
            match self.endpoints.get(id) {
                Some((endpoint, _)) => commands.push(Command::Probe(endpoint.clone())),
                // The engine has left the list during this batch.
                None => {
                    let id = id.to_string();
                    self.router.probe_finished(now, &id, Outcome::ConnectFailed, None);
                }
            }
        }
    }

    /// Removes closed requests, whose handles become invalid, after adding all pending commands.
    fn apply_closed(&mut self, now: f64, decisions: &Decisions, commands: &mut Vec<Command>) {
        for &handle in &decisions.closed {
            if let Some(request) = self.requests.id_of(handle) {
                self.close(now, request);
            }
        }
        commands.append(&mut self.pending_commands);
        for &handle in &decisions.closed {
            self.requests.remove(handle);
        }
    }

    fn close(&mut self, now: f64, request: RequestId) {
        self.ledger.release_all(now, request.serial);
        // A request must not end without an answer, even if the decision module closes it without one.
        if !self.requests.is_finished(request) {
            self.guard.count(Violation::Unanswered, request.serial);
        }
        self.answer(now, request, FinalAnswer::Failed(FailureReason::AttemptsFailed));
    }

    /// Adds the release calls that are due; returns when to poll the releases again.
    fn poll_release_calls(&mut self, now: f64, commands: &mut Vec<Command>) -> Option<f64> {
        for id in self.releases.take_timed_out(now) {
            self.release_answered(now, id, false);
        }
        let (due, release_at) = self.ledger.poll_releases(now);
        for owner in self.ledger.take_expired() {
            if let Some(request) = self.requests.id_by_serial(owner) {
                self.router.reservation_expired(now, RequestHandle(request.slot));
                self.update_release_pending(request);
            }
        }
        for (id, reservation) in due {
            if reservation.named_after_request {
                self.releases.enqueue(now, id, reservation);
            } else {
                commands.push(Command::Release(self.releases.call_directly(id, reservation)));
            }
        }
        let calls = self.scheduled_release_calls(now);
        commands.extend(calls.into_iter().map(Command::Release));
        [release_at, self.releases.wake_at(now)].into_iter().flatten().min_by(f64::total_cmp)
    }

    fn scheduled_release_calls(&mut self, now: f64) -> Vec<ReleaseCall> {
        let is_wanted = |id| self.ledger.needs_release_call(id);
        let choose =
            |prefill_engine: &Rc<Endpoint>| release_endpoints(&self.router, &self.endpoints, prefill_engine);
        self.releases.poll(now, is_wanted, choose)
    }
}

/// Returns the engines to try for a release that any engine can make: those that answered most recently, or
/// the prefill engine if there are none.
fn release_endpoints(
    router: &Router,
    known: &HashMap<String, (Rc<Endpoint>, EngineRole)>,
    prefill_engine: &Rc<Endpoint>,
) -> Vec<Rc<Endpoint>> {
    let engines = router.engines_by_last_response(&prefill_engine.id, RELEASE_ENDPOINTS);
    let endpoint_of =
        |engine: &EngineHandle| known.get(router.engine_id(*engine)).map(|known| known.0.clone());
    let endpoints: Vec<_> = engines.iter().filter_map(endpoint_of).collect();
    if endpoints.is_empty() {
        vec![prefill_engine.clone()]
    } else {
        endpoints
    }
}
