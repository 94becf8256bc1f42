//! Membership of this node in the fleet: its number, and its share of fleet-wide limits. The sum of the
//! shares of all nodes never exceeds the whole, even while nodes join, leave, pause and resume.
//!
//! A node holds its number by a lease. It relies on the lease only until the lease may have expired by the
//! node's own clock, less a safety margin, whatever the state at the registry. When a node sees more nodes,
//! it lowers its share at once. When it sees fewer nodes, it raises its share only after the lease of every
//! node that it counted must have expired. A node that joins uses no share until all other nodes must have
//! seen it: they refresh their lists at least every `max_staleness_s`, or use no share themselves.

use std::collections::{BTreeMap, VecDeque};

/// Timeouts and limits of a [`Membership`].
#[derive(Clone, Copy, Debug)]
pub struct MembershipConfig {
    /// Lifetime of the lease in seconds.
    pub lease_s: f64,
    /// Safety margin in seconds for clock differences and latency. This node relies on its own lease for this
    /// much less than its lifetime, and waits for this much longer until the lease of another node counts as
    /// expired.
    pub margin_s: f64,
    /// Maximum age in seconds of the list of nodes; with an older list, the node uses no share of fleet-wide
    /// limits.
    pub max_staleness_s: f64,
    /// Exclusive upper bound of the numbers of nodes.
    pub max_nodes: u32,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        MembershipConfig { lease_s: 10.0, margin_s: 2.0, max_staleness_s: 5.0, max_nodes: 4096 }
    }
}

/// Maximum number of recent node counts that are kept; above it, the oldest ones are merged.
const MAX_COUNTS: usize = 4096;
/// Number of keep-alives in the lifetime of a lease.
const KEEP_ALIVES_PER_LEASE: f64 = 3.0;
/// Number of polls in the lifetime of a lease.
const POLLS_PER_LEASE: f64 = 10.0;

/// Position of a node in the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetPosition {
    /// Number of the node, by which nodes take turns; `None` if the node takes no turn.
    pub number: Option<u32>,
    /// Number of nodes among which fleet-wide limits are divided; `None` if the node may use no share.
    pub node_count: Option<u32>,
}

impl FleetPosition {
    /// Position without a number and without a share.
    pub const NONE: FleetPosition = FleetPosition { number: None, node_count: None };
}

/// Registration of a node at the registry.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeRegistration {
    /// Number of the node, unique in the fleet.
    pub number: u32,
    /// Name of the node.
    pub name: String,
    /// Revision at which the registration was created.
    pub created_revision: u64,
}

/// Command to the caller for the registry.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipCommand {
    /// Register this number under the lease if it is free.
    Claim(u32),
    /// Stop using this number, since another node registered it earlier.
    Release(u32),
    /// Request the lease, or renew it.
    KeepAlive,
}

#[derive(Clone, Copy, Debug)]
struct HeldNumber {
    number: u32,
    since: f64,
}

#[derive(Clone, Copy, Debug)]
struct PendingClaim {
    number: u32,
    since: f64,
}

/// Count of nodes that may still hold leases.
#[derive(Clone, Copy, Debug)]
struct CountedNodes {
    expires_at: f64,
    count: u32,
}

/// This node's membership in the fleet.
pub struct Membership {
    config: MembershipConfig,
    name: String,
    held: Option<HeldNumber>,
    pending_claim: Option<PendingClaim>,
    lease_valid_until: f64,
    last_keep_alive_at: f64,
    /// Time at which the latest list of nodes was requested; `None` before the first list.
    refreshed_at: Option<f64>,
    registrations: BTreeMap<u32, NodeRegistration>,
    /// Recent node counts, the oldest first. The counts decrease from front to back.
    recent_counts: VecDeque<CountedNodes>,
}

impl Membership {
    /// Creates the membership of a node that holds no number yet.
    pub fn new(config: MembershipConfig, name: &str) -> Membership {
        Membership {
            config,
            name: name.into(),
            held: None,
            pending_claim: None,
            lease_valid_until: 0.0,
            last_keep_alive_at: f64::NEG_INFINITY,
            refreshed_at: None,
            registrations: BTreeMap::new(),
            recent_counts: VecDeque::new(),
        }
    }

    /// Records that the lease was granted or renewed. Its lifetime counts from the time of the request.
    pub fn lease_renewed(&mut self, requested_at: f64, ttl_s: f64) {
        let valid_until = requested_at + ttl_s - self.config.margin_s;
        self.lease_valid_until = self.lease_valid_until.max(valid_until);
    }

    /// Records that the lease has expired at the registry or is unknown there.
    pub fn lease_lost(&mut self) {
        self.held = None;
        self.pending_claim = None;
        self.lease_valid_until = 0.0;
    }

    /// Records the result of a claim.
    pub fn claim_finished(&mut self, now: f64, number: u32, succeeded: bool) {
        let was_pending = self.pending_claim.take().is_some_and(|claim| claim.number == number);
        if was_pending && succeeded {
            self.held = Some(HeldNumber { number, since: now });
        }
    }

    /// Replaces the list of registrations by one read from the registry. Its age counts from `requested_at`.
    pub fn update_registrations(&mut self, requested_at: f64, registrations: Vec<NodeRegistration>) {
        self.refreshed_at = Some(self.refreshed_at.map_or(requested_at, |at| at.max(requested_at)));
        self.registrations.clear();
        for new in registrations {
            // Of two registrations with the same number, the earlier one is valid.
            let known = self.registrations.get(&new.number);
            if known.is_none_or(|known| known.created_revision > new.created_revision) {
                self.registrations.insert(new.number, new);
            }
        }
        self.remember_count(requested_at);
    }

    /// Keeps the present node count until the leases of all counted nodes must have expired, since each of
    /// these nodes may use its share until then.
    fn remember_count(&mut self, requested_at: f64) {
        let count = self.registrations.len() as u32;
        let expires_at = requested_at + self.config.lease_s + self.config.margin_s;
        while self.recent_counts.back().is_some_and(|counted| counted.count <= count) {
            self.recent_counts.pop_back();
        }
        self.recent_counts.push_back(CountedNodes { expires_at, count });
        if self.recent_counts.len() > MAX_COUNTS {
            self.merge_oldest_counts();
        }
    }

    /// Merges the two oldest counts into the larger count with the later expiry.
    fn merge_oldest_counts(&mut self) {
        let Some(oldest) = self.recent_counts.pop_front() else { return };
        if let Some(next) = self.recent_counts.front_mut() {
            next.count = next.count.max(oldest.count);
        }
    }

    fn held_number(&self, now: f64) -> Option<HeldNumber> {
        let held = self.held?;
        let registration = self.registrations.get(&held.number);
        let is_own = registration.is_none_or(|registration| registration.name == self.name);
        (now < self.lease_valid_until && is_own).then_some(held)
    }

    /// Returns the position that this node may use now.
    pub fn position(&mut self, now: f64) -> FleetPosition {
        let Some(held) = self.held_number(now) else { return FleetPosition::NONE };
        let max_staleness_s = self.config.max_staleness_s;
        let is_fresh = self.refreshed_at.is_some_and(|at| now < at + max_staleness_s);
        let is_seen_by_all = now >= held.since + max_staleness_s + self.config.margin_s;
        if !is_fresh || !is_seen_by_all || !self.registrations.contains_key(&held.number) {
            return FleetPosition::NONE;
        }
        while self.recent_counts.len() > 1
            && self.recent_counts.front().is_some_and(|counted| now >= counted.expires_at)
        {
            self.recent_counts.pop_front();
        }
        let max_count = self.recent_counts.iter().map(|counted| counted.count).max();
        let node_count = max_count.unwrap_or(self.config.max_nodes).max(1);
        FleetPosition { number: Some(held.number), node_count: Some(node_count) }
    }

    /// Returns the commands for the registry, and the time of the next poll.
    pub fn poll_commands(&mut self, now: f64) -> (Vec<MembershipCommand>, f64) {
        let lease_s = self.config.lease_s;
        let mut commands = Vec::new();
        if now >= self.last_keep_alive_at + lease_s / KEEP_ALIVES_PER_LEASE {
            self.last_keep_alive_at = now;
            commands.push(MembershipCommand::KeepAlive);
        }
        commands.extend(self.check_held_number());
        commands.extend(self.claim_number(now));
        (commands, now + lease_s / POLLS_PER_LEASE)
    }

    fn check_held_number(&mut self) -> Option<MembershipCommand> {
        let HeldNumber { number, since } = self.held?;
        let registration = self.registrations.get(&number);
        if registration.is_some_and(|registration| registration.name != self.name) {
            self.held = None;
            return Some(MembershipCommand::Release(number));
        }
        // A registry that was rolled back to an older state has lost the registration, so the number is
        // claimed again.
        if registration.is_none() && self.refreshed_at.is_some_and(|at| at > since) {
            self.held = None;
        }
        None
    }

    fn claim_number(&mut self, now: f64) -> Option<MembershipCommand> {
        let is_pending = self.pending_claim.is_some_and(|claim| now < claim.since + self.config.lease_s);
        let has_lease = now < self.lease_valid_until;
        if self.held.is_some() || is_pending || self.refreshed_at.is_none() || !has_lease {
            return None;
        }
        let number = self.own_registered_number().or_else(|| self.lowest_free_number())?;
        self.pending_claim = Some(PendingClaim { number, since: now });
        Some(MembershipCommand::Claim(number))
    }

    /// Returns the number that is registered for this node, so that a node resumes its number after a pause.
    fn own_registered_number(&self) -> Option<u32> {
        let own = self.registrations.values().find(|registration| registration.name == self.name);
        own.map(|registration| registration.number)
    }

    fn lowest_free_number(&self) -> Option<u32> {
        (0..self.config.max_nodes).find(|number| !self.registrations.contains_key(number))
    }
}

#[cfg(test)]
#[path = "membership_tests.rs"]
mod tests;
