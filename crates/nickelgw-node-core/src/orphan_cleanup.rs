//! Release of reservations that earlier processes of this node made and that prefill engines may still hold
//! after a start. Each engine is called once; a call that fails is retried with exponential backoff. An
//! engine that is first listed long after the start holds no such reservations and is not called.

use crate::backoff::exponential_backoff_s;
use crate::Endpoint;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Initial and maximum backoff before a failed call is retried, in seconds.
const INITIAL_BACKOFF_S: f64 = 0.05;
const MAX_BACKOFF_S: f64 = 1.0;
/// Maximum number of calls in flight.
const MAX_CONCURRENT_CALLS: usize = 16;
/// Seconds after which a call without an answer is made again; the shell's own timeout is shorter.
const CALL_TIMEOUT_S: f64 = 5.0;
/// Seconds until the next poll while calls wait because the maximum number of calls is in flight.
const FULL_POLL_INTERVAL_S: f64 = 0.05;

/// State of the call to one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CallState {
    Scheduled { at: f64, retries: u32 },
    InFlight { since: f64, retries: u32 },
    Done,
}

/// The listed prefill engines, each with the state of its call.
pub struct OrphanCleanup {
    /// Time of the first calls: until then an earlier process may still serve open requests and need its
    /// reservations.
    from: f64,
    /// Time after which engines hold no reservations of earlier processes any more.
    until: f64,
    /// Engines by address: an engine that returns at another address is another process.
    engines: BTreeMap<String, (Rc<Endpoint>, CallState)>,
}

impl OrphanCleanup {
    /// Creates a cleanup that makes calls between two times.
    pub fn new(from: f64, until: f64) -> OrphanCleanup {
        OrphanCleanup { from, until, engines: BTreeMap::new() }
    }

    /// Returns whether all listed engines are done.
    pub fn is_done(&self) -> bool {
        self.engines.values().all(|engine| engine.1 == CallState::Done)
    }

    /// Replaces the prefill engines by those that are listed now.
    pub fn update_endpoints(&mut self, now: f64, prefill_engines: impl Iterator<Item = Rc<Endpoint>>) {
        let initial = if now <= self.until {
            CallState::Scheduled { at: self.from.max(now), retries: 0 }
        } else {
            CallState::Done
        };
        let mut listed = BTreeMap::new();
        for endpoint in prefill_engines {
            let known = self.engines.remove(&endpoint.address);
            let state = known.map_or(initial, |known| known.1);
            listed.insert(endpoint.address.clone(), (endpoint, state));
        }
        self.engines = listed;
    }

    /// Records the end of a call. `confirmed`: the engine has released all reservations of earlier processes.
    pub fn release_finished(&mut self, now: f64, address: &str, confirmed: bool) {
        let Some((_, state)) = self.engines.get_mut(address) else { return };
        let CallState::InFlight { retries, .. } = *state else { return };
        // After the window the engine has freed these reservations at its own time limit.
        *state = if confirmed || now > self.until {
            CallState::Done
        } else {
            let delay_s = exponential_backoff_s(INITIAL_BACKOFF_S, retries, MAX_BACKOFF_S);
            CallState::Scheduled { at: now + delay_s, retries: retries + 1 }
        };
    }

    /// Returns the engines to call now, and when to poll again (`None` if all are done).
    pub fn poll_calls(&mut self, now: f64) -> (Vec<Rc<Endpoint>>, Option<f64>) {
        let mut calls = Vec::new();
        let mut wake_at: Option<f64> = None;
        let is_in_flight =
            |engine: &&(Rc<Endpoint>, CallState)| matches!(engine.1, CallState::InFlight { .. });
        let mut in_flight = self.engines.values().filter(is_in_flight).count();
        for (endpoint, state) in self.engines.values_mut() {
            if let CallState::InFlight { since, retries } = *state {
                if now >= since + CALL_TIMEOUT_S {
                    in_flight -= 1;
                    *state = CallState::Scheduled { at: now, retries: retries + 1 };
                }
            }
            let next_at = match *state {
                CallState::Scheduled { at, retries } if at <= now && in_flight < MAX_CONCURRENT_CALLS => {
                    *state = CallState::InFlight { since: now, retries };
                    in_flight += 1;
                    calls.push(endpoint.clone());
                    now + CALL_TIMEOUT_S
                }
                CallState::Scheduled { at, .. } if at <= now => now + FULL_POLL_INTERVAL_S,
                CallState::Scheduled { at, .. } => at,
                CallState::InFlight { since, .. } => since + CALL_TIMEOUT_S,
                CallState::Done => continue,
            };
            wake_at = Some(wake_at.map_or(next_at, |earliest| earliest.min(next_at)));
        }
        (calls, wake_at)
    }
}

#[cfg(test)]
#[path = "orphan_cleanup_tests.rs"]
mod tests;
