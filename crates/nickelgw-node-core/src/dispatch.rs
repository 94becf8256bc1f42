//! Dispatch of attempts. The guard checks each attempt, a prefill makes a reservation, and a decode attempt
//! claims one.

use crate::commands::{
    AttemptKind, AttemptRequest, AttemptResult, Command, Endpoint, RequestId, Reservation,
};
use crate::guard::ProposedAttempt;
use crate::ledger::ReservationId;
use crate::node_core::NodeCore;
use crate::request_table::{Attempt, OpenRequest, RequestStage};
use crate::trace::TraceEvent;
use nickelgw::interface::{Dispatch, EngineRole, Idempotency};
use nickelgw_chat::core::grant::{grant, GrantClaims};
use std::rc::Rc;

/// An attempt recorded with its request.
struct RecordedAttempt {
    number: u32,
    permitted: bool,
}

impl NodeCore {
    /// Records an attempt that the decision module dispatches, and adds the command to start it unless the
    /// guard refuses it.
    pub(crate) fn dispatch(&mut self, now: f64, dispatch: &Dispatch, commands: &mut Vec<Command>) {
        let Some(request) = self.requests.id_of(dispatch.request) else { return };
        let (engine, role) = self.dispatch_target(dispatch);
        let is_prefill = role == EngineRole::Prefill;
        let Some(recorded) = self.record_attempt(now, request, &engine.id, is_prefill) else { return };
        let attempt = recorded.number;
        if !recorded.permitted {
            return self.attempt_ended(now, request, attempt, AttemptResult::default());
        }
        let Some(open) = self.requests.get(request) else { return };
        let runs_once = !is_prefill && self.is_non_idempotent(open);
        let named_after_request = open.name.is_some();
        let name = open.name.clone();
        let name =
            name.unwrap_or_else(|| format!("{}-{}-{attempt}", self.config.incarnation, request.serial));
        let rationale = self.router.dispatch_rationale(dispatch.request, attempt);
        let kind = if is_prefill {
            let reservation = Reservation {
                name: name.as_str().into(),
                prefill_engine: engine.clone(),
                named_after_request,
            };
            self.begin_prefill(now, request, attempt, reservation)
        } else {
            self.begin_decode(now, request, attempt, &engine)
        };
        let from_reservation = matches!(kind, AttemptKind::Decode { reservation: Some(_), .. });
        let event = TraceEvent::AttemptStarted {
            attempt,
            engine: engine.clone(),
            is_prefill,
            rationale,
            from_reservation,
        };
        self.trace_event(now, request, event);
        commands.push(Command::StartAttempt(AttemptRequest {
            request,
            attempt,
            name,
            engine,
            timeout_s: dispatch.timeout_s,
            runs_once,
            kind,
            rationale,
        }));
    }

    /// Returns the engine of a dispatch and its role. An engine that has left the list during this batch has
    /// no address, and the guard refuses the attempt.
    fn dispatch_target(&self, dispatch: &Dispatch) -> (Rc<Endpoint>, EngineRole) {
        let id = self.router.engine_id(dispatch.engine);
        if let Some((endpoint, role)) = self.endpoints.get(id) {
            return (endpoint.clone(), *role);
        }
        let unlisted = Endpoint { id: id.to_string(), address: String::new(), tls_name: None };
        (Rc::new(unlisted), EngineRole::Prefill)
    }

    fn record_attempt(
        &mut self,
        now: f64,
        request: RequestId,
        engine: &str,
        is_prefill: bool,
    ) -> Option<RecordedAttempt> {
        let proposed = self.proposed_attempt(now, request, engine, is_prefill)?;
        let permitted = self.guard.permits(&proposed, request.serial);
        let open = self.requests.get_mut(request)?;
        let number = open.attempts.len() as u32;
        let may_have_run = !is_prefill && permitted;
        open.attempts.push(Attempt { is_prefill, in_flight: true, dispatched_at: now, may_have_run });
        Some(RecordedAttempt { number, permitted })
    }

    fn proposed_attempt(
        &self,
        now: f64,
        request: RequestId,
        engine: &str,
        is_prefill: bool,
    ) -> Option<ProposedAttempt> {
        let open = self.requests.get(request)?;
        let ran = open.attempts.iter().find(|attempt| !attempt.is_prefill && attempt.may_have_run);
        let route = self.routes.get(open.route);
        Some(ProposedAttempt {
            is_prefill,
            request_waiting: open.stage == RequestStage::Waiting,
            remaining_s: open.deadline - now,
            another_in_flight: open.attempts.iter().any(|attempt| attempt.in_flight),
            since_possible_run_s: ran.map(|attempt| now - attempt.dispatched_at),
            idempotency: route.map_or(Idempotency::NonIdempotent, |route| route.idempotency),
            engine_available: self.endpoints.contains_key(engine) && !self.draining.contains(engine),
            release_pending: self.ledger.is_releasing(request.serial),
        })
    }

    fn is_non_idempotent(&self, open: &OpenRequest) -> bool {
        let route = self.routes.get(open.route);
        route.is_none_or(|route| route.idempotency == Idempotency::NonIdempotent)
    }

    fn begin_prefill(
        &mut self,
        now: f64,
        request: RequestId,
        attempt: u32,
        reservation: Reservation,
    ) -> AttemptKind {
        let id = ReservationId { owner: request.serial, prefill: attempt };
        self.ledger.prefill_begins(now, id, reservation);
        AttemptKind::Prefill
    }

    fn begin_decode(&mut self, now: f64, request: RequestId, attempt: u32, engine: &Endpoint) -> AttemptKind {
        let reservation = self.ledger.claim(now, request.serial, attempt);
        let grant = reservation.as_ref().and_then(|reservation| self.grant(now, reservation, engine));
        AttemptKind::Decode { reservation, grant, idle_timeout_s: self.config.stream_idle_timeout_s }
    }

    /// Returns a grant that permits the decode engine to fetch the reservation once and for a limited time;
    /// `None` if grants are not configured.
    fn grant(&self, now: f64, reservation: &Reservation, decode_engine: &Endpoint) -> Option<String> {
        let unix_now = self.config.started_at_unix_s + now;
        let config = self.config.grants.as_ref()?;
        let claims = GrantClaims {
            reservation: &reservation.name,
            prefill_engine: &reservation.prefill_engine.id,
            decode_engine: &decode_engine.id,
            expires_at: unix_now + config.lifetime_s,
        };
        Some(grant(config.key(unix_now)?, &claims))
    }
}
