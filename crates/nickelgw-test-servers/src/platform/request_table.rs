//! What all engines know together: reservations and attempts by request, and the violations found.

use super::{lock, ObservedViolation, Role, RuleLimits, Violation};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// What is known of one request.
#[derive(Default)]
struct RequestState {
    /// Engines that hold a reservation for it.
    reserved_at: BTreeSet<usize>,
    /// Release calls so far: a prefill during which one came leaves no reservation.
    releases: u64,
    /// Attempts that have arrived and have not ended.
    attempts: u32,
    /// Those of them that decode.
    decode_attempts: u32,
    /// Since when a reservation stands with no attempt at an engine.
    unattended_since: Option<Instant>,
    /// Decode attempts that were not rejected.
    runs: u32,
    at_most_once: bool,
    /// Its node was killed, and the platform frees what it left.
    excused: bool,
    sent_at: Option<Instant>,
    /// When a node wrote the latest attempt, as the proxy in front of the engine saw it.
    attempt_written_at: Option<Instant>,
    deadline: Option<Instant>,
    disconnected_at: Option<Instant>,
}

/// A time in which a reservation stood unattended.
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
    /// Starts or stops the clock of an unattended reservation; returns the span that has ended.
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

/// Requests by their id, and violations.
#[derive(Default)]
pub struct RequestTable {
    limits: RuleLimits,
    requests: Mutex<BTreeMap<String, RequestState>>,
    violations: Mutex<Vec<ObservedViolation>>,
}

impl RequestTable {
    /// A table that judges by these limits.
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

    /// A client sends a request with this timeout.
    pub fn request_sent(&self, id: &str, timeout: Duration, at_most_once: bool) {
        let now = Instant::now();
        self.update(id, |request| {
            request.sent_at = Some(now);
            request.deadline = Some(now + timeout);
            request.at_most_once = at_most_once;
        });
    }

    /// The client has closed its connection.
    pub fn client_disconnected(&self, id: &str) {
        self.update(id, |request| request.disconnected_at = Some(Instant::now()));
    }

    /// A client got no final answer.
    pub fn no_final_answer(&self, id: &str, outcome: String) {
        let now = Instant::now();
        let sent_at = self.update(id, |request| request.sent_at).unwrap_or(now);
        self.report(Violation::NoFinalAnswer { id: id.to_string(), outcome }, sent_at, now);
    }

    /// A node has written an attempt, which is on its way to an engine.
    pub fn attempt_written(&self, id: &str) {
        let now = Instant::now();
        self.update(id, |request| request.attempt_written_at = Some(now));
    }

    /// The last byte of an attempt has arrived at an engine of this role, with its time budget. It began as its node wrote it.
    pub fn attempt_arrived(&self, id: &str, budget: Option<Duration>, role: Role) {
        let now = Instant::now();
        let (disconnected_at, sent_at, deadline, written_at) = self.update(id, |request| {
            request.add_attempt(role);
            // Taken, so that it never stands for a later attempt.
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

    /// An attempt arrived at an engine that is announced as draining since then.
    pub fn attempt_at_draining(&self, id: &str, since: Instant) {
        let now = Instant::now();
        let late = now - since;
        if late > self.limits.max_dispatch_to_draining {
            self.report(Violation::AttemptAtDraining { id: id.to_string(), late }, since, now);
        }
    }

    /// A client got a stream that no engine made for its request.
    pub fn wrong_content(&self, id: &str, content: String) {
        let now = Instant::now();
        let sent_at = self.update(id, |request| request.sent_at).unwrap_or(now);
        self.report(Violation::WrongContent { id: id.to_string(), content }, sent_at, now);
    }

    /// A response was lost on its way to the node, for which the attempt stays open until the node ends it.
    pub fn response_lost(&self, id: &str, role: Role) {
        self.update(id, |request| request.add_attempt(role));
    }

    /// An attempt has ended: it was answered, or its connection was closed.
    pub fn attempt_ended(&self, id: &str, role: Role) {
        self.update(id, |request| request.remove_attempt(role));
    }

    /// A prefill begins; returns the number of release calls so far.
    pub fn prefill_started(&self, id: &str) -> u64 {
        self.update(id, |request| request.releases)
    }

    /// A prefill is done. It leaves a reservation unless a release call came since it began.
    pub fn prefill_finished(&self, id: &str, engine: usize, releases_at_start: u64) {
        self.update(id, |request| {
            if request.releases == releases_at_start && !request.excused {
                request.reserved_at.insert(engine);
            }
        });
    }

    /// A decode attempt claims the reservations; false if there are none.
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

    /// A release call: reservations end unless a decode attempt waits for them, and a prefill under way leaves none.
    pub fn release(&self, id: &str) {
        self.update(id, |request| {
            request.releases += 1;
            if request.decode_attempts == 0 {
                request.reserved_at.clear();
            }
        });
    }

    /// Whether the request has a reservation.
    pub fn is_reserved(&self, id: &str) -> bool {
        self.lock().get(id).is_some_and(|request| !request.reserved_at.is_empty())
    }

    /// Requests with reservations, and the number of their open attempts.
    pub fn reserved_requests(&self) -> Vec<(String, u32)> {
        let requests = self.lock();
        let reserved = requests.iter().filter(|(_, request)| !request.reserved_at.is_empty());
        reserved.map(|(id, request)| (id.clone(), request.attempts)).collect()
    }

    /// Whether any request has a reservation.
    pub fn has_reservations(&self) -> bool {
        !self.reserved_requests().is_empty()
    }

    /// Number of requests known.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether no request is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Excuses the requests of a node that was killed: the platform frees what it left.
    pub fn excuse_requests(&self, id_prefix: &str) {
        for (_, request) in self.lock().iter_mut().filter(|(id, _)| id.starts_with(id_prefix)) {
            request.reserved_at.clear();
            request.unattended_since = None;
            request.excused = true;
        }
    }

    /// All violations up to now.
    pub fn violations(&self) -> Vec<Violation> {
        self.observed_violations().into_iter().map(|observed| observed.violation).collect()
    }

    /// All violations up to now, with their times. A request can have several of a kind.
    pub fn observed_violations(&self) -> Vec<ObservedViolation> {
        self.report_standing_reservations(Instant::now());
        self.lock_violations().clone()
    }

    /// Reports reservations that have stood unattended for too long and still do. Their clocks start anew.
    fn report_standing_reservations(&self, now: Instant) {
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
