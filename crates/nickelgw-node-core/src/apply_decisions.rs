//! What is to be done after a batch of calls: the module's decisions as orders to the shell.

use super::*;

/// Engines that a call to let go is tried at before it is repeated.
const TRIED: usize = 4;

impl NodeCore {
    /// What to do after a batch of calls.
    pub fn poll_commands(&mut self, now: f64) -> CommandBatch {
        while let Some(&(at, t)) = self.unseen.first().filter(|u| f64::from_bits(u.0) <= now) {
            self.unseen.remove(&(at, t));
            self.answer(now, t, FinalAnswer::Failed(FailureReason::DeadlineExceeded));
        }
        let d = self.router.decide(now);
        let mut todo = std::mem::take(&mut self.ready);
        for &(inf, send) in &d.cancelled {
            if let Some(ticket) = self.ticket(inf) {
                todo.push(Command::CancelAttempt { request: ticket, attempt: send });
            }
        }
        for s in &d.dispatches {
            match self.order(now, s.request, s.engine, s.timeout_s) {
                Some(Ok(order)) => todo.push(Command::StartAttempt(order)),
                Some(Err((t, send))) => self.attempt_ended(
                    now,
                    t,
                    send,
                    AttemptResult { outcome: AttemptOutcome::NotDelivered, ..AttemptResult::default() },
                ),
                None => {}
            }
        }
        let named = d.reasons.iter().filter_map(|&(inf, reason)| Some((self.ticket(inf)?, reason)));
        let reasons: Vec<(RequestId, RejectionReason)> = named.collect();
        for &(t, reason) in &reasons {
            self.note(now, t, TraceEvent::Rejected(reason));
        }
        for &(inf, come_back_s) in &d.rejected {
            if let Some(t) = self.ticket(inf) {
                self.answer(now, t, FinalAnswer::Rejected { retry_after_s: come_back_s });
            }
        }
        for &inf in &d.failed {
            if let Some(t) = self.ticket(inf) {
                let due = self.get(t).map_or(f64::INFINITY, |x| x.due_at);
                let why = if now + 2.0 * self.tick >= due {
                    FailureReason::DeadlineExceeded
                } else {
                    FailureReason::AttemptsFailed
                };
                self.answer(now, t, FinalAnswer::Failed(why));
            }
        }
        for &inf in &d.released {
            if let Some(t) = self.ticket(inf) {
                self.ledger.release_all(now, t.serial);
                self.update_release_pending(t);
            }
        }
        for &eng in &d.probes {
            let id = self.router.engine_id(eng);
            match self.places.get(id) {
                Some((place, _)) => todo.push(Command::Probe(place.clone())),
                // The list took it out in this very batch.
                None => {
                    let id = id.to_string();
                    self.router.probe_finished(now, &id, Outcome::ConnectFailed, None);
                }
            }
        }
        if d.poll_endpoints {
            todo.push(Command::PollEndpoints);
        }
        for &inf in &d.closed {
            if let Some(t) = self.ticket(inf) {
                self.ledger.release_all(now, t.serial);
                // A request must not vanish unanswered, whatever the Router thinks of it.
                if self.get(t).is_some_and(|x| x.stage != Stage::Over) {
                    self.guard.count(Violation::Unanswered, t.serial);
                }
                self.answer(now, t, FinalAnswer::Failed(FailureReason::AttemptsFailed));
            }
        }
        todo.append(&mut self.ready);
        for inf in &d.closed {
            self.taken[inf.0 as usize] = None;
        }
        let (calls, let_go_at) = self.ledger.poll_releases(now);
        for owner in self.ledger.take_expired() {
            if let Some(t) = self.ticket_of(owner) {
                self.router.reservation_expired(now, RequestHandle(t.slot));
                self.update_release_pending(t);
            }
        }
        for (call, state) in calls {
            let at = if state.named_after_request { self.takers(&state.prefill_engine) } else { Vec::new() };
            todo.push(Command::Release { reservation_id: call, reservation: state, endpoints: at });
        }
        let (readers, sweep_at) = self.sweep.poll_calls(now);
        todo.extend(readers.into_iter().map(Command::ReleaseOrphans));
        let unseen = self.unseen.first().map(|u| f64::from_bits(u.0));
        let wake_at = [d.wake_at, let_go_at, sweep_at, unseen].into_iter().flatten().min_by(f64::total_cmp);
        for owner in self.ledger.take_overdue(now) {
            self.guard.count(Violation::ReservationOverdue, owner);
        }
        let (transitions, violations) = (self.ledger.take_transitions(), self.guard.take_news());
        CommandBatch { commands: todo, reasons, transitions, violations, wake_at }
    }

    /// Engines that the module names for a call which any of them takes; the one meant at least.
    fn takers(&self, meant: &Rc<Endpoint>) -> Vec<Rc<Endpoint>> {
        let named = self.router.engines_by_last_response(&meant.id, TRIED);
        let place = |e: &EngineHandle| self.places.get(self.router.engine_id(*e)).map(|p| p.0.clone());
        let places: Vec<_> = named.iter().filter_map(place).collect();
        if places.is_empty() {
            vec![meant.clone()]
        } else {
            places
        }
    }

    /// Books a send and says what the shell needs to make it.
    /// An error: the guard refuses it.
    fn order(
        &mut self,
        now: f64,
        inf: RequestHandle,
        eng: EngineHandle,
        patience_s: f64,
    ) -> Option<Result<AttemptRequest, (RequestId, u32)>> {
        let ticket = self.ticket(inf)?;
        let id = self.router.engine_id(eng).to_string();
        let idle_s = self.figures.stream_idle_timeout_s;
        let (eng, role) = match self.places.get(&id) {
            Some((place, role)) => (place.clone(), *role),
            None => (Rc::new(Endpoint { id, address: String::new(), tls_name: None }), EngineRole::Prefill),
        };
        let read = role == EngineRole::Prefill;
        let attempt = self.attempt(now, ticket, &eng.id, read)?;
        let permitted = self.guard.permits(&attempt, ticket.serial);
        let taken = self.get(ticket)?;
        let send = taken.sends.len() as u32;
        let route = taken.route;
        taken.sends.push(Sent { read, live: true, at: now, may_have_run: !read && permitted });
        if !permitted {
            return Some(Err((ticket, send)));
        }
        let shared = taken.name.is_some();
        let name = taken.name.clone();
        let name = name.unwrap_or_else(|| format!("{}-{}-{send}", self.figures.incarnation, ticket.serial));
        let grounds = self.router.dispatch_rationale(inf, send);
        let what = if read {
            let state = Reservation {
                name: name.as_str().into(),
                prefill_engine: eng.clone(),
                named_after_request: shared,
            };
            self.ledger.prefill_begins(now, ReservationId { owner: ticket.serial, prefill: send }, state);
            AttemptKind::Prefill
        } else {
            let state = self.ledger.claim(now, ticket.serial, send);
            let grant = state.as_ref().and_then(|s| self.grant(now, s, &eng));
            AttemptKind::Decode { reservation: state, grant, idle_timeout_s: idle_s }
        };
        let from_state = matches!(what, AttemptKind::Decode { reservation: Some(_), .. });
        self.note(
            now,
            ticket,
            TraceEvent::AttemptStarted {
                attempt: send,
                engine: eng.clone(),
                is_prefill: read,
                rationale: grounds,
                from_reservation: from_state,
            },
        );
        let once = !read && self.once.get(route).copied().unwrap_or(true);
        Some(Ok(AttemptRequest {
            request: ticket,
            attempt: send,
            name,
            engine: eng,
            timeout_s: patience_s,
            runs_once: once,
            kind: what,
            rationale: grounds,
        }))
    }

    /// What the guard is told of an attempt that is about to be made.
    fn attempt(&self, now: f64, ticket: RequestId, engine: &str, prefill: bool) -> Option<Attempt> {
        let taken = self.taken.get(ticket.slot as usize)?.as_ref()?;
        let ran = taken.sends.iter().find(|s| !s.read && s.may_have_run);
        Some(Attempt {
            prefill,
            waiting: taken.stage == Stage::Waiting,
            left_s: taken.due_at - now,
            another_out: taken.sends.iter().any(|s| s.live),
            may_have_run_s: ran.map(|s| now - s.at),
            repeat: self.repeats.get(taken.route).copied().unwrap_or(Idempotency::NonIdempotent),
            listed: self.places.contains_key(engine) && !self.draining.contains(engine),
            releasing: self.ledger.is_releasing(ticket.serial),
        })
    }

    /// What lets this writer fetch this state, once and for a time.
    fn grant(&self, now: f64, state: &Reservation, writer: &Endpoint) -> Option<String> {
        let unix_now = self.figures.started_at_unix_s + now;
        let g = self.figures.grants.as_ref()?;
        let until = unix_now + g.lifetime_s;
        let granted = GrantClaims {
            reservation: &state.name,
            prefill_engine: &state.prefill_engine.id,
            decode_engine: &writer.id,
            expires_at: until,
        };
        Some(grant(g.key(unix_now)?, &granted))
    }
}
