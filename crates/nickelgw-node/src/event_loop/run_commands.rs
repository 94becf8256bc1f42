//! Runs the core's commands.

use super::{EventLoop, RunningAttempt};
use crate::engines::Attempt;
use crate::latency_metrics::LatencyMetrics;
use nickelgw_node_core::{
    AttemptKind, AttemptOutcome, AttemptRequest, AttemptResult, Command, Endpoint, ReleaseCall, RequestId,
};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

/// Whether running a command has reported something to the core, so that it may have further commands.
#[derive(PartialEq)]
enum CoreState {
    Unchanged,
    Changed,
}

impl EventLoop {
    /// Runs commands until the core has no more. Returns when the core has to be polled next.
    pub(super) fn run_commands(&mut self, now: f64) -> Option<f64> {
        loop {
            let started_at = Instant::now();
            let batch = self.core.poll_commands(now);
            self.record_latency(|latency| {
                LatencyMetrics::record(&mut latency.poll_commands, started_at.elapsed())
            });
            let mut state = CoreState::Unchanged;
            for command in batch.commands {
                if self.run_command(now, command) == CoreState::Changed {
                    state = CoreState::Changed;
                }
            }
            if state == CoreState::Unchanged {
                return batch.wake_at;
            }
        }
    }

    fn run_command(&mut self, now: f64, command: Command) -> CoreState {
        match command {
            Command::StartAttempt(attempt_request) => return self.start_attempt(now, attempt_request),
            Command::CancelAttempt { request, attempt } => {
                self.cancel_attempt(now, request, attempt);
                return CoreState::Changed;
            }
            Command::Answer { request, answer } => self.send_final_answer(request, answer),
            Command::Release(call) => self.release(call),
            Command::Probe(endpoint) => self.probe(endpoint),
            Command::ReleaseOrphans(endpoint) => self.release_orphans(endpoint),
            Command::PollEndpoints => drop(self.channels.poll_endpoints.try_send(())),
        }
        CoreState::Unchanged
    }

    fn start_attempt(&mut self, now: f64, attempt_request: AttemptRequest) -> CoreState {
        let (request, number) = (attempt_request.request, attempt_request.attempt);
        let Some(client) = self.clients.get(&request) else {
            self.core.attempt_ended(now, request, number, AttemptResult::default());
            return CoreState::Changed;
        };
        tracing::debug!(
            request = %client.id,
            attempt = number,
            engine = %attempt_request.engine.id,
            prefill = attempt_request.kind == AttemptKind::Prefill,
            "attempt started"
        );
        let sent = Rc::new(Cell::new(false));
        let attempt = Attempt {
            attempt_request,
            request_id: client.id.clone(),
            chat: client.chat.clone(),
            sent: sent.clone(),
        };
        let task = self.executor.spawn(self.engines.clone().run_attempt(attempt));
        self.attempts.insert((request, number), RunningAttempt { _task: task, sent });
        CoreState::Unchanged
    }

    fn cancel_attempt(&mut self, now: f64, request: RequestId, number: u32) {
        let attempt = self.attempts.remove(&(request, number));
        // An attempt that is cancelled while its connection is still being opened is known not to have run,
        // and may be retried on another engine. This happens if a handshake stalls until a concurrent probe
        // of the engine times out.
        let may_have_run =
            attempt.is_none_or(|attempt| attempt.sent.get()) || !self.clients.contains_key(&request);
        let outcome = match may_have_run {
            true => AttemptOutcome::Cancelled,
            false => AttemptOutcome::ConnectFailed,
        };
        let result = AttemptResult { outcome, ..AttemptResult::default() };
        self.core.attempt_ended(now, request, number, result);
    }

    fn release(&self, call: ReleaseCall) {
        self.executor.spawn(self.engines.clone().release(call)).detach();
    }

    fn probe(&self, endpoint: Rc<Endpoint>) {
        self.executor.spawn(self.engines.clone().probe(endpoint)).detach();
    }

    fn release_orphans(&self, endpoint: Rc<Endpoint>) {
        let release = self.engines.clone().release_orphans(endpoint, self.incarnation.clone());
        self.executor.spawn(release).detach();
    }
}
