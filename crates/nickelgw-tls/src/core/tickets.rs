//! TLS session tickets, bounded in number and age. A ticket is used once, and only for its server name and
//! generation.

use std::collections::{BTreeMap, VecDeque};

/// Bounds of a [`Tickets`] store.
#[derive(Clone, Copy, Debug)]
pub struct TicketLimits {
    /// Maximum number of tickets for one server name.
    pub max_per_name: usize,
    /// Maximum number of tickets for all server names.
    pub max_tickets: usize,
    /// Age beyond which a ticket is not used.
    pub max_age_s: f64,
}

struct StoredTicket<T> {
    received_at: f64,
    ticket: T,
}

/// Session tickets by server name.
pub struct Tickets<T> {
    limits: TicketLimits,
    generation: u64,
    /// Tickets of each server name, the newest last.
    by_name: BTreeMap<String, VecDeque<StoredTicket<T>>>,
    count: usize,
}

impl<T> Tickets<T> {
    /// Creates an empty store of generation 0.
    pub fn new(limits: TicketLimits) -> Self {
        Tickets { limits, generation: 0, by_name: BTreeMap::new(), count: 0 }
    }

    /// Starts a new generation and drops all tickets of the earlier one: sessions agreed under its keys and
    /// trust are not resumed.
    pub fn rotate(&mut self, generation: u64) {
        if generation != self.generation {
            self.generation = generation;
            self.by_name.clear();
            self.count = 0;
        }
    }

    /// Stores a ticket, unless it belongs to another generation.
    pub fn insert(&mut self, now: f64, generation: u64, name: &str, ticket: T) {
        if generation != self.generation || self.limits.max_per_name == 0 {
            return;
        }
        if self.count >= self.limits.max_tickets {
            self.drop_oldest();
        }
        let stored = self.by_name.entry(name.to_string()).or_default();
        stored.push_back(StoredTicket { received_at: now, ticket });
        self.count += 1;
        if stored.len() > self.limits.max_per_name {
            stored.pop_front();
            self.count -= 1;
        }
    }

    /// Removes and returns the newest ticket for the name. Tickets are not reused, as a ticket used twice
    /// would link two connections. `None` if there is no ticket that may be used.
    pub fn take(&mut self, now: f64, generation: u64, name: &str) -> Option<T> {
        if generation != self.generation {
            return None;
        }
        let newest = self.by_name.get_mut(name)?.pop_back();
        self.count -= usize::from(newest.is_some());
        match newest {
            Some(stored) if now - stored.received_at < self.limits.max_age_s => Some(stored.ticket),
            // If the newest ticket is too old, all others are too.
            _ => {
                self.remove(name);
                None
            }
        }
    }

    /// Drops the tickets for a name. A server that refused one ticket has lost the keys of all of them.
    pub fn remove(&mut self, name: &str) {
        self.count -= self.by_name.remove(name).map_or(0, |stored| stored.len());
    }

    /// Number of tickets.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns whether there are no tickets.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    fn drop_oldest(&mut self) {
        let oldest_of_name = |(name, stored): (&String, &VecDeque<StoredTicket<T>>)| {
            Some((stored.front()?.received_at, name.clone()))
        };
        let oldest = self.by_name.iter().filter_map(oldest_of_name).min_by(|x, y| x.0.total_cmp(&y.0));
        let Some((_, name)) = oldest else { return };
        let Some(stored) = self.by_name.get_mut(&name) else { return };
        stored.pop_front();
        self.count -= 1;
        if stored.is_empty() {
            self.by_name.remove(&name);
        }
    }
}

#[cfg(test)]
#[path = "tickets_tests.rs"]
mod tests;
