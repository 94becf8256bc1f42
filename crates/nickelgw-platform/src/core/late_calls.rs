//! Calls to discovery that have run into their timeouts and stay open beside the calls after them.
//!
//! Discovery never answers calls that it accepted during an outage, and may answer others late. Each place for
//! a late call has a time limit. A call that reaches its place's limit moves to the next place if that one is
//! free, and is given up otherwise. So calls of very different ages are open: places with short limits soon
//! hold new calls after an outage, and places with long limits receive responses that take long.

use super::discovery_calls::{CallId, OpenCall};

/// Time limits of the places for late calls, in seconds from when discovery was expected to answer, in
/// ascending order. A change of the list has to be applied some seconds after an outage. Up to 2 s the steps are small:
/// an agent that works off one call after another answers only those that were made just after its recovery while they
/// are open, and such a call finds its next place free only if the one before it has left it by then.
pub const LATE_LIMITS_S: [f64; 8] = [0.25, 0.6, 0.95, 1.3, 1.65, 2.0, 8.0, 30.0];

/// The late calls, each in its place.
#[derive(Debug, Default)]
pub struct LateCalls {
    places: [Option<OpenCall>; LATE_LIMITS_S.len()],
}

impl LateCalls {
    /// Keeps the call in the first place whose limit it has not reached. Returns `false` if that place is not
    /// free.
    pub fn keep(&mut self, now: f64, call: OpenCall) -> bool {
        let mut places = self.places.iter_mut().zip(LATE_LIMITS_S);
        match places.find(|(_, limit_s)| now < call.expected_at + limit_s) {
            Some((place, _)) if place.is_none() => {
                *place = Some(call);
                true
            }
            _ => false,
        }
    }

    /// Moves the calls that have reached the limits of their places, and returns those that are given up.
    pub fn move_up(&mut self, now: f64) -> Vec<CallId> {
        let mut given_up = Vec::new();
        // From the last place to the first, so that a place is free for the call before it.
        for (index, limit_s) in LATE_LIMITS_S.into_iter().enumerate().rev() {
            let reached = |call: &mut OpenCall| call.expected_at + limit_s <= now;
            let Some(call) = self.places[index].take_if(reached) else { continue };
            if !self.keep(now, call) {
                given_up.push(call.id);
            }
        }
        given_up
    }

    /// Returns the call with this id.
    pub fn get(&self, id: CallId) -> Option<&OpenCall> {
        self.places.iter().flatten().find(|call| call.id == id)
    }

    /// Removes the call with this id and all that were started before it, and returns them.
    pub fn take_up_to(&mut self, id: CallId) -> Vec<CallId> {
        self.take_where(|call| call.id <= id)
    }

    /// Removes the call with this id. Returns `false` if there is none.
    pub fn remove(&mut self, id: CallId) -> bool {
        !self.take_where(|call| call.id == id).is_empty()
    }

    /// Returns the time at which the next call reaches its place's limit; infinite if there are no calls.
    pub fn next_limit_at(&self) -> f64 {
        let calls = self.places.iter().zip(LATE_LIMITS_S);
        let limits = calls.filter_map(|(place, limit_s)| Some(place.as_ref()?.expected_at + limit_s));
        limits.fold(f64::INFINITY, f64::min)
    }

    fn take_where(&mut self, condition: impl Fn(&OpenCall) -> bool) -> Vec<CallId> {
        let taken = self.places.iter_mut().filter_map(|place| place.take_if(|call| condition(call)));
        taken.map(|call| call.id).collect()
    }
}
