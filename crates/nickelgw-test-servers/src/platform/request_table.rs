//! Table of the reservations and attempts of each request at all engines, and of the violations found.

use super::{lock, ObservedViolation, Role, RuleLimits, Violation};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// State of one request.
#[derive(Default)]
struct RequestState {
    /// Engines that hold a reservation for the request.
    reserved_at: BTreeSet<usize>,
    /// Number of release calls so far. A prefill during which one arrived leaves no reservation.
    releases: u64,
    /// Number of attempts that have arrived and have not ended.
    attempts: u32,
    /// Number of these attempts that are at decode engines.
    decode_attempts: u32,
    /// Time since which a reservation exists while no attempt is at an engine. `None` if that is not so.
    unattended_since: Option<Instant>,
    /// Number of decode attempts that were not rejected.
    runs: u32,
    at_most_once: bool,
    /// Whether its node was killed. The platform then frees the reservations that the node left.
    excused: bool,
    sent_at: Option<Instant>,
    /// Time at which the node wrote the latest attempt, as seen by the proxy in front of the engine.
    attempt_written_at: Option<Instant>,
    deadline: Option<Instant>,
    disconnected_at: Option<Instant>,
}

/// Time span in which a reservation existed while no attempt of its request was at an engine.
#[derive(Clone, Copy)]
struct UnattendedSpan {
    from: Instant,
    until: Instant,
}

impl UnattendedSpan {
    fn duration(self) -> Duration {
        self.until - self.from
    }
}

impl RequestState {
    /// Begins or ends the unattended span after a change of the reservations or attempts. Returns the span if
    /// it has ended.
    fn update_unattended(&mut self, now: Instant) -> Option<UnattendedSpan> {
        if !self.reserved_at.is_empty() && self.attempts == 0 {
            self.unattended_since.get_or_insert(now);
            return None;
        }
        Some(UnattendedSpan { from: self.unattended_since.take()?, until: now })
    }

    fn add_attempt(&mut self, role: Role) {
        self.attempts += 1;
        self.decode_attempts += u32::from(role == Role::Decode);
    }

    fn remove_attempt(&mut self, role: Role) {
        self.attempts = self.attempts.saturating_sub(1);
        self.decode_attempts = self.decode_attempts.saturating_sub(u32::from(role == Role::Decode));
    }
}

/// Table of requests by id, with the violations found.
#[derive(Default)]
pub struct RequestTable {
    limits: RuleLimits,
    requests: Mutex<BTreeMap<String, RequestState>>,
    violations: Mutex<Vec<ObservedViolation>>,
}

impl RequestTable {
    /// Creates a table that applies these limits.
    pub fn new(limits: RuleLimits) -> RequestTable {
        RequestTable { limits, ..RequestTable::default() }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, RequestState>> {
        lock(&self.requests)
    }

    fn lock_violations(&self) -> MutexGuard<'_, Vec<ObservedViolation>> {
        lock(&self.violations)
    }

    fn report(&self, violation: Violation, from: Instant, until: Instant) {
        self.lock_violations().push(ObservedViolation { violation, from, until });
    }

    fn report_if_overlong(&self, id: &str, span: UnattendedSpan) {
        if span.duration() > self.limits.max_unattended {
            let violation =
                Violation::UnattendedReservation { id: id.to_string(), duration: span.duration() };
            self.report(violation, span.from, span.until);
        }
    }

    fn update<T>(&self, id: &str, change: impl FnOnce(&mut RequestState) -> T) -> T {
        let mut requests = self.lock();
        let request = requests.entry(id.to_string()).or_default();
        let result = change(request);
        let ended_span = request.update_unattended(Instant::now());
        drop(requests);
        ended_span.into_iter().for_each(|span| self.report_if_overlong(id, span));
        result
    }

    /// Records that a client sends a request with this timeout.
    pub fn request_sent(&self, id: &str, timeout: Duration, at_most_once: bool) {
        let now = Instant::now();
        self.update(id, |request| {
            request.sent_at = Some(now);
            request.deadline = Some(now + timeout);
            request.at_most_once = at_most_once;
        });
    }

    /// Records that the client has closed its connection.
    pub fn client_disconnected(&self, id: &str) {
        self.update(id, |request| request.disconnected_at = Some(Instant::now()));
    }

    /// Reports that a client got no final answer.
    pub fn no_final_answer(&self, id: &str, outcome: String) {
        let now = Instant::now();
        let sent_at = self.update(id, |request| request.sent_at).unwrap_or(now);
        self.report(Violation::NoFinalAnswer { id: id.to_string(), outcome }, sent_at, now);
    }

    /// Records that a node has written an attempt, which has not arrived at its engine yet.
    pub fn attempt_written(&self, id: &str) {
        let now = Instant::now();
        self.update(id, |request| request.attempt_written_at = Some(now));
    }

    /// Records that an attempt with this time budget has arrived completely at an engine of this role.
    /// Whether it began after the client had disconnected is judged from the time at which the node wrote it.
    pub fn attempt_arrived(&self, id: &str, budget: Option<Duration>, role: Role) {
        let now = Instant::now();
        let (disconnected_at, sent_at, deadline, written_at) = self.update(id, |request| {
            request.add_attempt(role);
            // The time is removed, so that it is not applied to a later attempt.
            let written_at = request.attempt_written_at.take().unwrap_or(now);
            (request.disconnected_at, request.sent_at, request.deadline, written_at)
        });
        if let Some(disconnected_at) = disconnected_at {
            let late = written_at.saturating_duration_since(disconnected_at);
            if late > self.limits.disconnect_slack {
                let violation = Violation::AttemptAfterDisconnect { id: id.to_string(), late };
                self.report(violation, disconnected_at, now);
            }
        }
        if let (Some(budget), Some(deadline)) = (budget, deadline) {
            let excess = budget.saturating_sub(deadline.saturating_duration_since(now));
            if excess > self.limits.deadline_slack {
                let violation = Violation::BudgetPastDeadline { id: id.to_string(), excess };
                self.report(violation, sent_at.unwrap_or(now), now);
            }
        }
    }

    /// Records that an attempt arrived at an engine that has been announced as draining since `since`.
    pub fn attempt_at_draining(&self, id: &str, since: Instant) {
        let now = Instant::now();
        let late = now - since;
        if late > self.limits.max_dispatch_to_draining {
            self.report(Violation::AttemptAtDraining { id: id.to_string(), late }, since, now);
        }
    }

    /// Reports that a client got a stream that differs from the one that an engine generates for its request.
    pub fn wrong_content(&self, id: &str, content: String) {
        let now = Instant::now();
        let sent_at = self.update(id, |request| request.sent_at).unwrap_or(now);
        self.report(Violation::WrongContent { id: id.to_string(), content }, sent_at, now);
    }

    /// Records that a response was lost on its way to the node. For the node, the attempt stays open until
    /// the node ends it.
    pub fn response_lost(&self, id: &str, role: Role) {
        self.update(id, |request| request.add_attempt(role));
    }

    /// Records that an attempt has ended, either by a response or because its connection was closed.
    pub fn attempt_ended(&self, id: &str, role: Role) {
        self.update(id, |request| request.remove_attempt(role));
    }

    /// Records that a prefill begins. Returns the number of release calls so far.
    pub fn prefill_started(&self, id: &str) -> u64 {
        self.update(id, |request| request.releases)
    }

    /// Records that a prefill is done. It leaves a reservation unless a release call has arrived since it
    /// began, or the node of the request was killed.
    pub fn prefill_finished(&self, id: &str, engine: usize, releases_at_start: u64) {
        self.update(id, |request| {
            if request.releases == releases_at_start && !request.excused {
                request.reserved_at.insert(engine);
            }
        });
    }

    /// Claims the reservations of a request for a decode attempt. Returns `false` if there are none.
    pub fn claim_reservations(&self, id: &str) -> bool {
        let (found, is_duplicate, sent_at) = self.update(id, |request| {
            let found = !request.reserved_at.is_empty();
            request.reserved_at.clear();
            request.runs += u32::from(found);
            (found, request.at_most_once && request.runs > 1, request.sent_at)
        });
        if is_duplicate {
            let now = Instant::now();
            self.report(Violation::DuplicateRun { id: id.to_string() }, sent_at.unwrap_or(now), now);
        }
        found
    }

    /// Applies a release call. The reservations end unless a decode attempt is open, and a prefill in
    /// progress leaves no reservation.
    pub fn release(&self, id: &str) {
        self.update(id, |request| {
            request.releases += 1;
            if request.decode_attempts == 0 {
                request.reserved_at.clear();
            }
        });
    }

    /// Returns whether the request has a reservation.
    pub fn is_reserved(&self, id: &str) -> bool {
        self.lock().get(id).is_some_and(|request| !request.reserved_at.is_empty())
    }

    /// Returns the ids of requests with reservations, each with the number of its open attempts.
    pub fn reserved_requests(&self) -> Vec<(String, u32)> {
        let requests = self.lock();
        let reserved = requests.iter().filter(|(_, request)| !request.reserved_at.is_empty());
        reserved.map(|(id, request)| (id.clone(), request.attempts)).collect()
    }

    /// Returns whether any request has a reservation.
    pub fn has_reservations(&self) -> bool {
        !self.reserved_requests().is_empty()
    }

    /// Returns the number of requests in the table.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Returns whether the table has no request.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Excuses the requests whose ids begin with a prefix, because their node was killed. The platform frees
    /// the reservations that the node left.
    pub fn excuse_requests(&self, id_prefix: &str) {
        for (_, request) in self.lock().iter_mut().filter(|(id, _)| id.starts_with(id_prefix)) {
            request.reserved_at.clear();
            request.unattended_since = None;
            request.excused = true;
        }
    }

    /// Returns all violations up to now.
    pub fn violations(&self) -> Vec<Violation> {
        self.observed_violations().into_iter().map(|observed| observed.violation).collect()
    }

    /// Returns all violations up to now, with their times. A request can have several violations of one kind.
    pub fn observed_violations(&self) -> Vec<ObservedViolation> {
        self.report_unattended_reservations(Instant::now());
        self.lock_violations().clone()
    }

    /// Reports reservations that have been unattended for longer than the limit, and begins new spans for
    /// them.
    fn report_unattended_reservations(&self, now: Instant) {
        let mut spans = Vec::new();
        for (id, request) in self.lock().iter_mut() {
            let since = request.unattended_since.filter(|since| now - *since > self.limits.max_unattended);
            if let Some(since) = since {
                request.unattended_since = Some(now);
                spans.push((id.clone(), UnattendedSpan { from: since, until: now }));
            }
        }
        spans.iter().for_each(|(id, span)| self.report_if_overlong(id, *span));
    }
}
