//! This node's number among the nodes, and the share of fleet-wide limits that it may use, so that the sum of all shares
//! stays under the whole at every moment while nodes join, leave, pause and come back.
//!
//! A node holds its number by a lease. It relies on the lease only until its own clock says that it may have expired,
//! with a safety margin, whatever the registry would say. When it sees more nodes it uses less at once. When it sees fewer
//! it uses more only once every node that it counted must have lost its lease. A node that joins uses nothing until all
//! others must have seen it: they refresh at least every `max_staleness_s`, or use nothing themselves.

use std::collections::{BTreeMap, VecDeque};

/// Timeouts and bounds of a [`Membership`].
#[derive(Clone, Copy, Debug)]
pub struct MembershipConfig {
    /// Lifetime of the lease.
    pub lease_s: f64,
    /// Safety margin for clocks and latency: a lease is relied on for this much less, waited for this much longer.
    pub margin_s: f64,
    /// With a list of nodes older than this the node uses nothing of fleet-wide limits.
    pub max_staleness_s: f64,
    /// Numbers are below this.
    pub max_nodes: u32,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        MembershipConfig { lease_s: 10.0, margin_s: 2.0, max_staleness_s: 5.0, max_nodes: 4096 }
    }
}

/// Node counts remembered at most; beyond it the oldest ones are merged.
const MAX_COUNTS: usize = 4096;
/// Keep-alives in a lease's lifetime.
const KEEP_ALIVES_PER_LEASE: f64 = 3.0;
/// Polls in a lease's lifetime.
const POLLS_PER_LEASE: f64 = 10.0;

/// Where a node stands among the nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetPosition {
    /// Its number, for taking turns; none: it takes no turn.
    pub number: Option<u32>,
    /// It may use one share in so many; none: nothing.
    pub node_count: Option<u32>,
}

impl FleetPosition {
    /// No number, and no share.
    pub const NONE: FleetPosition = FleetPosition { number: None, node_count: None };
}

/// A node's number as the registry has it.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeRegistration {
    /// The number, unique among the nodes.
    pub number: u32,
    /// The node's name.
    pub name: String,
    /// The revision at which it was registered.
    pub created_revision: u64,
}

/// What the caller does at the registry.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipCommand {
    /// Register this number under the lease, if nobody has it.
    Claim(u32),
    /// Another node has registered the number before: this node no longer uses it.
    Release(u32),
    /// Grant the lease, or renew it.
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

/// A number of nodes that may still be in use.
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
    /// When the list of nodes was last requested successfully.
    refreshed_at: Option<f64>,
    registrations: BTreeMap<u32, NodeRegistration>,
    /// Oldest first; counts fall from front to back.
    recent_counts: VecDeque<CountedNodes>,
}

impl Membership {
    /// A node that holds no number yet.
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

    /// The lease was granted or renewed; its lifetime counts from when that was requested.
    pub fn lease_renewed(&mut self, requested_at: f64, ttl_s: f64) {
        let valid_until = requested_at + ttl_s - self.config.margin_s;
        self.lease_valid_until = self.lease_valid_until.max(valid_until);
    }

    /// The registry says that the lease has expired, or does not know it.
    pub fn lease_lost(&mut self) {
        self.held = None;
        self.pending_claim = None;
        self.lease_valid_until = 0.0;
    }

    /// A claim ended.
    pub fn claim_finished(&mut self, now: f64, number: u32, succeeded: bool) {
        let was_pending = self.pending_claim.take().is_some_and(|claim| claim.number == number);
        if was_pending && succeeded {
            self.held = Some(HeldNumber { number, since: now });
        }
    }

    /// All registrations, as read at the registry. `requested_at` tells how old the answer may be.
    pub fn update_registrations(&mut self, requested_at: f64, registrations: Vec<NodeRegistration>) {
        self.refreshed_at = Some(self.refreshed_at.map_or(requested_at, |at| at.max(requested_at)));
        self.registrations.clear();
        for new in registrations {
            // Of two with one number the earlier has it.
            let known = self.registrations.get(&new.number);
            if known.is_none_or(|known| known.created_revision > new.created_revision) {
                self.registrations.insert(new.number, new);
            }
        }
        self.remember_count(requested_at);
    }

    /// A node that was counted may use its share until its lease must have expired.
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

    /// Keeps the list bounded: the larger of the two oldest counts stands until the later of their ends.
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

    /// What this node may use now.
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

    /// What to do at the registry, and when to poll again.
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
        // A registry that went back to an older state does not have it any more: it is claimed again.
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

    /// A node that paused resumes the number that it held before.
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
