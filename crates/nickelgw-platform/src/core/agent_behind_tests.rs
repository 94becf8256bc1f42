//! Discovery agents that are behind what was announced before, in virtual time.

use super::discovery_calls::{AcceptedUpdate, CallId, DiscoveryCalls, DiscoveryCommand};
use super::discovery_timing::DiscoveryTimeouts;
use super::endpoint_list::{DiscoveredEndpoints, DiscoveryUpdate};
use nickelgw::interface::EngineRole;
use nickelgw_platform_config::MachineKind;
use proptest::prelude::*;
use serde_json::json;

const STEP_S: f64 = 0.02;
/// Generation before the drain of engine `a`, the removal of `b` and the addition of `c`.
const BEFORE: u64 = 42;

/// Returns the whole list of this generation. Engine `other` is one that only an agent with another count has.
fn list(generation: u64, has_other: bool) -> DiscoveryUpdate {
    let mut engines = match generation {
        ..=BEFORE => vec![("a", "up"), ("b", "up")],
        _ => vec![("a", "draining"), ("c", "up")],
    };
    engines.extend(has_other.then_some(("other", "up")));
    let instances: Vec<_> = engines
        .into_iter()
        .map(|(id, lifecycle)| json!({"instanceId": id, "machineType": "m1", "lifecycle": lifecycle}))
        .collect();
    let text = json!({"generation": generation, "reset": true, "instances": instances}).to_string();
    DiscoveryUpdate::parse(text.as_bytes()).unwrap()
}

/// A client, its list, and an agent that answers each call at once with the whole list.
struct Simulation {
    now: f64,
    calls: DiscoveryCalls,
    endpoints: DiscoveredEndpoints,
    open: Vec<CallId>,
}

impl Simulation {
    /// Creates a client that has no list yet.
    fn new() -> Simulation {
        let kind = MachineKind { name: "m1".into(), role: EngineRole::Prefill, memory_tokens: 9.0 };
        let endpoints = DiscoveredEndpoints::new(vec![kind]);
        let calls = DiscoveryCalls::new(DiscoveryTimeouts::new(0.5));
        Simulation { now: 0.0, calls, endpoints, open: Vec::new() }
    }

    /// Runs for this time. The agent has this generation, and answers no call if that is `None`. `check` is called
    /// in each step.
    fn run(&mut self, duration_s: f64, agent: Option<(u64, bool)>, check: impl Fn(&DiscoveredEndpoints)) {
        for _ in 0..(duration_s / STEP_S) as usize {
            self.now += STEP_S;
            for command in self.calls.poll(self.now) {
                match command {
                    DiscoveryCommand::Start(id, _) => self.open.push(id),
                    DiscoveryCommand::Cancel(id) => self.open.retain(|open| *open != id),
                    DiscoveryCommand::LogOverdue { .. } => {}
                }
            }
            if let Some((generation, has_other)) = agent {
                for id in std::mem::take(&mut self.open) {
                    let update = self.calls.responded(self.now, id, list(generation, has_other));
                    update.into_iter().for_each(|update| self.apply(update));
                }
            } else {
                self.open.clear();
            }
            check(&self.endpoints);
        }
    }

    fn apply(&mut self, update: AcceptedUpdate) {
        match update {
            AcceptedUpdate::Current(update) => self.endpoints.apply(update),
            AcceptedUpdate::PossiblyStale(update) => self.endpoints.apply_possibly_stale(update),
            AcceptedUpdate::Behind(update) => self.endpoints.apply_behind(update),
        }
    }
}

/// Asserts that what was announced is not taken back: the drain of `a` and the removal of `b`.
fn assert_kept(endpoints: &DiscoveredEndpoints) {
    assert!(!endpoints.is_active("a"), "the drain was taken back");
    assert!(!endpoints.is_active("b"), "the removal was taken back");
}

fn assert_caught_up(endpoints: &DiscoveredEndpoints) {
    assert_kept(endpoints);
    assert!(endpoints.is_active("c"), "the list was not applied");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]

    /// Regression test: the guard against an older list of a new agent ended 4 s after the change of the address,
    /// also if the agent had not responded by then, and the list took back a drain.
    #[test]
    fn drain_is_not_taken_back_however_long_a_new_agent_is_silent_and_behind(
        silent_s in 0.0..30.0f64,
        behind_s in 0.0..30.0f64,
        silent_again_s in 0.0..10.0f64,
        behind_again_s in 0.0..10.0f64,
        addresses in 1usize..4,
    ) {
        let mut simulation = Simulation::new();
        simulation.run(1.0, Some((BEFORE, false)), |_| {});
        simulation.run(1.0, Some((BEFORE + 1, false)), |_| {});
        for _ in 0..addresses {
            simulation.open.clear();
            simulation.calls.address_changed(simulation.now);
            simulation.run(silent_s, None, assert_kept);
            simulation.run(behind_s, Some((BEFORE, false)), assert_kept);
            simulation.run(silent_again_s, None, assert_kept);
            simulation.run(behind_again_s, Some((BEFORE, false)), assert_kept);
        }
        simulation.run(4.0, Some((BEFORE + 1, false)), assert_kept);
        assert_caught_up(&simulation.endpoints);
    }
}

/// Regression test: an agent that restarts at the same address with an older list took back a drain.
#[test]
fn drain_is_not_taken_back_by_an_agent_that_restarts_with_an_older_list() {
    let mut simulation = Simulation::new();
    simulation.run(1.0, Some((BEFORE, false)), |_| {});
    simulation.run(1.0, Some((BEFORE + 1, false)), |_| {});
    simulation.run(1.0, None, assert_caught_up);
    simulation.run(20.0, Some((BEFORE, false)), assert_kept);
    simulation.run(1.0, Some((BEFORE + 1, false)), assert_kept);
    assert_caught_up(&simulation.endpoints);
}

/// An agent that counts generations in another way must not be waited for: engines that it adds are used.
#[test]
fn engines_of_an_agent_with_lower_generations_are_used_in_the_end() {
    let mut simulation = Simulation::new();
    simulation.run(1.0, Some((BEFORE, false)), |_| {});
    simulation.run(1.0, Some((BEFORE + 1, false)), |_| {});
    simulation.open.clear();
    simulation.calls.address_changed(simulation.now);
    simulation
        .run(5.9, Some((7, true)), |endpoints| assert!(!endpoints.is_active("other"), "added too early"));
    simulation.run(1.0, Some((7, true)), assert_kept);
    assert!(simulation.endpoints.is_active("other"), "an engine was not added");
}
