//! The event loop: runs the core's commands whenever an event has occurred or the core's next wake-up is due.

use super::attempt_failure::AttemptFailure;
use super::attempts::AttemptProgress;
use super::{Node, Reply, RunningAttempt};
use crate::clients::socket::ClientSocket;
use crate::core::engine::ForwardedRequest;
use crate::core::MalformedMessage;
use nickelgw_node::seconds;
use nickelgw_node_core::{
    AttemptKind, AttemptOutcome, AttemptRequest, AttemptResult, Command, CommandBatch, FinalAnswer, RequestId,
};
use smol::Timer;
use std::rc::Rc;

impl Node {
    /// Runs the core's commands until the future is dropped.
    pub async fn run_event_loop(self: Rc<Self>) {
        let mut wake_at = None;
        loop {
            let timer = match wake_at {
                Some(wake_at) => Timer::after(seconds(wake_at - self.now())),
                None => Timer::never(),
            };
            let woken = async {
                let _ = self.woken.recv().await;
            };
            let timed_out = async {
                timer.await;
            };
            futures_lite::future::or(woken, timed_out).await;
            wake_at = self.run_commands();
        }
    }

    /// Runs commands until there are none. Returns when the core is to be polled again if no event occurs
    /// before; `None` if only an event requires that.
    fn run_commands(self: &Rc<Self>) -> Option<f64> {
        let now = self.now();
        loop {
            let batch = self.core.borrow_mut().poll_commands(now);
            self.log_batch(now, &batch);
            let mut poll_again = false;
            for command in batch.commands {
                poll_again |= self.run_command(now, command);
            }
            if !poll_again {
                return batch.wake_at;
            }
        }
    }

    fn log_batch(&self, now: f64, batch: &CommandBatch) {
        for (request, reason) in &batch.reasons {
            if let Some(pending) = self.pending.borrow().get(request) {
                tracing::debug!(at = now, request = %pending.forwarded.id, ?reason, "request rejected");
            }
        }
        for (violation, request) in &batch.violations {
            tracing::error!(
                at = now,
                rule = violation.name(),
                request,
                "invariant violated or attempt blocked"
            );
        }
        for transition in &batch.transitions {
            tracing::debug!(
                at = now,
                request = %transition.name,
                prefill = transition.id.prefill,
                from = ?transition.from,
                to = ?transition.to,
                after_s = transition.after_s,
                "reservation"
            );
        }
    }

    /// Runs one command. Returns `true` if the core has received an event meanwhile and is to be polled at
    /// once.
    fn run_command(self: &Rc<Self>, now: f64, command: Command) -> bool {
        match command {
            Command::StartAttempt(attempt) => return !self.start_attempt(now, attempt),
            Command::CancelAttempt { request, attempt } => return self.cancel_attempt(now, request, attempt),
            Command::Answer { request, answer } => self.answer(request, answer),
            Command::Release(call) => self.executor().spawn(self.clone().release(call)).detach(),
            Command::Probe(endpoint) => self.executor().spawn(self.clone().probe(endpoint)).detach(),
            // The platform releases reservations of earlier processes, and the discovery client fetches the
            // endpoint list by itself.
            Command::ReleaseOrphans(_) | Command::PollEndpoints => {}
        }
        false
    }

    /// Starts an attempt. Returns `false` if the client has disconnected; the core has then been told that
    /// the attempt was not delivered.
    fn start_attempt(self: &Rc<Self>, now: f64, attempt: AttemptRequest) -> bool {
        let (request, number) = (attempt.request, attempt.attempt);
        let Some((forwarded, client)) = self.connected_client(request) else {
            self.core.borrow_mut().attempt_ended(now, request, number, AttemptResult::default());
            return false;
        };
        log_attempt_started(now, &attempt, &forwarded);
        let progress = Rc::new(AttemptProgress::default());
        let run = self.clone().run_attempt(attempt, forwarded.clone(), client, progress.clone());
        let task = self.executor().spawn(run);
        self.attempts.borrow_mut().insert((request, number), RunningAttempt { forwarded, task, progress });
        true
    }

    /// Carries out an attempt and passes its result to the core.
    async fn run_attempt(
        self: Rc<Self>,
        attempt: AttemptRequest,
        forwarded: Rc<ForwardedRequest>,
        client: Rc<ClientSocket>,
        progress: Rc<AttemptProgress>,
    ) {
        let ended = self.execute_attempt(&attempt, &forwarded, &client, &progress).await;
        let malformed = malformed_reason(&ended);
        let result = ended.unwrap_or_else(AttemptFailure::result);
        let (request, number) = (attempt.request, attempt.attempt);
        // The attempt can no longer be cancelled: its task runs to its end.
        if let Some(running) = self.attempts.borrow_mut().remove(&(request, number)) {
            running.task.detach();
        }
        self.attempt_ended(&forwarded, &progress, result.outcome);
        log_attempt_ended(self.now(), &attempt, &forwarded, &result, malformed);
        if let Some(reason) = malformed {
            self.log_malformed_response(&attempt.engine.id, &forwarded.id, reason);
        }
        self.core.borrow_mut().attempt_ended(self.now(), request, number, result);
        self.wake();
    }

    /// Returns a pending request and its client's socket; `None` if the client has disconnected.
    fn connected_client(&self, request: RequestId) -> Option<(Rc<ForwardedRequest>, Rc<ClientSocket>)> {
        let (forwarded, client) = self
            .pending
            .borrow()
            .get(&request)
            .map(|pending| (pending.forwarded.clone(), pending.client.clone()))?;
        // The socket is checked, since the connection's task may notice a disconnection late under load.
        client.disconnection().is_none().then_some((forwarded, client))
    }

    fn cancel_attempt(&self, now: f64, request: RequestId, number: u32) -> bool {
        let Some(RunningAttempt { forwarded, task, progress }) =
            self.attempts.borrow_mut().remove(&(request, number))
        else {
            return false;
        };
        // The connection is closed here because the executor drops the task some time later, and the messages
        // that follow may be sent before that.
        progress.give_up_connection();
        drop(task);
        let outcome =
            if progress.delivered.get() { AttemptOutcome::Cancelled } else { AttemptOutcome::ConnectFailed };
        tracing::debug!(at = now, request = %forwarded.id, attempt = number, ?outcome, "attempt cancelled");
        self.attempt_ended(&forwarded, &progress, outcome);
        let result = AttemptResult { outcome, ..AttemptResult::default() };
        self.core.borrow_mut().attempt_ended(now, request, number, result);
        true
    }

    fn answer(&self, request: RequestId, answer: FinalAnswer) {
        // A response that has begun as a stream is ended by the task of its attempt.
        let Some(pending) = self.pending.borrow_mut().remove(&request) else { return };
        tracing::debug!(at = self.now(), request = %pending.forwarded.id, ?answer, "response sent");
        let reply = match answer {
            FinalAnswer::Rejected { retry_after_s } => Reply::Rejected(retry_after_s),
            FinalAnswer::Failed(_) | FinalAnswer::Completed => Reply::Failed,
        };
        let _ = pending.reply.try_send(reply);
    }
}

/// Returns what is wrong with an attempt's response; `None` if it is not malformed. A whole response that is malformed is
/// one of another kind.
fn malformed_reason(ended: &Result<AttemptResult, AttemptFailure>) -> Option<MalformedMessage> {
    match ended {
        Ok(result) => (result.outcome == AttemptOutcome::Malformed).then_some(MalformedMessage::Kind),
        Err(failure) => failure.malformed,
    }
}

fn log_attempt_started(now: f64, attempt: &AttemptRequest, forwarded: &ForwardedRequest) {
    let rationale = &attempt.rationale;
    tracing::debug!(
        at = now,
        request = %forwarded.id,
        attempt = attempt.attempt,
        engine = %attempt.engine.id,
        prefill = matches!(attempt.kind, AttemptKind::Prefill),
        requests_ahead = rationale.requests_ahead,
        expected_s = rationale.expected_s,
        engine_age_s = rationale.engine_age_s,
        unreachable_s = rationale.unreachable_s,
        "attempt started"
    );
}

fn log_attempt_ended(
    now: f64,
    attempt: &AttemptRequest,
    forwarded: &ForwardedRequest,
    result: &AttemptResult,
    malformed: Option<MalformedMessage>,
) {
    let (request, engine) = (&forwarded.id, &attempt.engine.id);
    match result.outcome {
        AttemptOutcome::Completed => {}
        AttemptOutcome::Prefilled => {
            let cached_tokens = result.cached_tokens;
            tracing::debug!(at = now, %request, %engine, cached_tokens, "prefill finished");
        }
        outcome => {
            let number = attempt.attempt;
            let reason = malformed.map(tracing::field::display);
            tracing::debug!(at = now, %request, attempt = number, %engine, ?outcome, reason, "attempt ended");
        }
    }
}
