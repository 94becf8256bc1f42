use super::*;
use proptest::prelude::*;
use test_case::test_case;

const SIX_ENGINES: ZoneCapacity = ZoneCapacity { prefill_engines: 3, decode_engines: 3 };

/// Observations of a node with the given values for zone 1; the other zones respond to the node.
fn observe(
    node: u64,
    last_response_at: f64,
    unreachable: &[(u64, f64)],
    weight: f64,
) -> Vec<ZoneObservation> {
    let other = |zone| ZoneObservation {
        node,
        zone,
        last_response_at: Some(last_response_at + 100.0),
        unreachable: vec![],
        weight: 1.0,
    };
    vec![
        other(0),
        ZoneObservation {
            node,
            zone: 1,
            last_response_at: Some(last_response_at),
            unreachable: unreachable.to_vec(),
            weight,
        },
        other(2),
    ]
}

/// Observations of `nodes` nodes that together found `engines` engines of zone 1 unreachable at `failed_at`.
fn observe_failure(nodes: u64, engines: u64, failed_at: f64) -> Vec<ZoneObservation> {
    let unreachable_from = |node: u64| -> Vec<(u64, f64)> {
        (0..engines).filter(|engine| engine % nodes == node).map(|engine| (engine, failed_at)).collect()
    };
    (0..nodes).flat_map(|node| observe(node, 1.0, &unreachable_from(node), 1.0)).collect()
}

fn evacuated() -> ZoneStates {
    let mut zones = ZoneStates::new(3, ZoneConfig::default());
    zones.update(10.0, &observe_failure(3, 6, 10.0), &[SIX_ENGINES; 3]);
    zones.update(10.3, &observe_failure(3, 6, 10.0), &[SIX_ENGINES; 3]);
    assert_eq!(zones.weight(1), 0.0);
    zones
}

#[test_case(3, 6, true; "all engines reported by three nodes")]
#[test_case(2, 3, true; "half of the engines reported by two nodes")]
#[test_case(1, 6, true; "all engines reported by the only node")]
#[test_case(3, 1, false; "one dead engine is not enough")]
#[test_case(3, 2, false; "two engines of six are not enough")]
fn zone_is_evacuated_when_enough_engines_are_unreachable(nodes: u64, engines: u64, is_evacuated: bool) {
    let mut zones = ZoneStates::new(3, ZoneConfig::default());
    zones.update(10.0, &observe_failure(nodes, engines, 10.0), &[SIX_ENGINES; 3]);
    assert_eq!(zones.weight(1), 1.0, "a zone is only suspected at first");
    zones.update(10.3, &observe_failure(nodes, engines, 10.0), &[SIX_ENGINES; 3]);
    assert_eq!((zones.weight(1) == 0.0, zones.weight(0), zones.weight(2)), (is_evacuated, 1.0, 1.0));
}

/// A node that reaches no engine of a zone may be partitioned itself, or malicious.
#[test]
fn reports_of_a_single_node_of_several_do_not_evacuate_a_zone() {
    let mut zones = ZoneStates::new(3, ZoneConfig::default());
    let mut observations = observe_failure(1, 6, 10.0);
    observations.extend((1..3).flat_map(|node| observe(node, 1.0, &[], 1.0)));
    for round in 0..20 {
        zones.update(10.0 + 0.1 * f64::from(round), &observations, &[SIX_ENGINES; 3]);
    }
    assert_eq!(zones.weight(1), 1.0);
}

#[test]
fn response_to_any_node_clears_suspicion() {
    let mut zones = ZoneStates::new(3, ZoneConfig::default());
    let mut observations = observe_failure(3, 6, 10.0);
    zones.update(10.0, &observations, &[SIX_ENGINES; 3]);
    observations.extend(observe(7, 9.9, &[], 1.0));
    zones.update(10.4, &observations, &[SIX_ENGINES; 3]);
    assert_eq!(zones.state(1), Some(ZoneState::Active));
}

#[test]
fn last_zone_that_can_prefill_and_decode_is_not_evacuated() {
    let (prefill_only, none) =
        (ZoneCapacity { prefill_engines: 6, decode_engines: 0 }, ZoneCapacity::default());
    for capacities in [[none, SIX_ENGINES, none], [prefill_only, SIX_ENGINES, prefill_only]] {
        let mut zones = ZoneStates::new(3, ZoneConfig::default());
        for now in [10.0, 10.3, 10.6] {
            zones.update(now, &observe_failure(3, 6, 10.0), &capacities);
        }
        assert_eq!(zones.weight(1), 1.0, "{capacities:?}");
    }
}

#[test]
fn recovery_advances_in_steps_and_failure_returns_to_previous_step_at_once() {
    let mut zones = evacuated();
    let responding = |at: f64| (0..3).flat_map(|node| observe(node, at, &[], 0.0)).collect::<Vec<_>>();
    zones.update(12.0, &responding(11.9), &[SIX_ENGINES; 3]);
    assert_eq!(zones.own_weight(1), 0.0, "recovery began before the failback delay");
    let mut weights = Vec::new();
    for round in 0..70 {
        let now = 12.5 + 0.1 * f64::from(round);
        zones.update(now, &responding(now), &[SIX_ENGINES; 3]);
        if weights.last() != Some(&zones.own_weight(1)) {
            weights.push(zones.own_weight(1));
        }
    }
    assert_eq!(weights, RECOVERY_WEIGHTS);
    // Now the zone fails again in the second step.
    let mut zones = evacuated();
    for round in 0..20 {
        let now = 12.0 + 0.1 * f64::from(round);
        zones.update(now, &responding(now), &[SIX_ENGINES; 3]);
    }
    assert_eq!(zones.own_weight(1), RECOVERY_WEIGHTS[1]);
    let failing: Vec<ZoneObservation> =
        (0..2).flat_map(|node| observe(node, 13.9, &[(node, 14.2)], 0.15)).collect();
    zones.update(14.2, &failing, &[SIX_ENGINES; 3]);
    assert_eq!(zones.own_weight(1), RECOVERY_WEIGHTS[0]);
}

#[test]
fn failback_delay_doubles_with_each_evacuation_up_to_its_maximum() {
    let config = ZoneConfig { max_failback_delay_s: 4.0, ..ZoneConfig::default() };
    let mut zones = ZoneStates::new(3, config);
    let (mut now, mut waits) = (10.0, Vec::new());
    for _ in 0..6 {
        zones.update(now, &observe_failure(3, 6, now), &[SIX_ENGINES; 3]);
        zones.update(now + 0.4, &observe_failure(3, 6, now), &[SIX_ENGINES; 3]);
        assert_eq!(zones.own_weight(1), 0.0);
        let responding_since = now + 1.0;
        now = responding_since;
        while zones.own_weight(1) == 0.0 {
            now += 0.05;
            let observations: Vec<ZoneObservation> =
                (0..3).flat_map(|node| observe(node, now, &[], 0.0)).collect();
            zones.update(now, &observations, &[SIX_ENGINES; 3]);
        }
        waits.push(((now - responding_since) * 2.0).round() / 2.0);
        now += 1.0;
    }
    assert_eq!(waits, [0.5, 1.0, 2.0, 4.0, 4.0, 4.0]);
}

/// A node that has just started has no observations of its own. It follows two peers that agree, but not a
/// single one.
#[test_case(2, 0.05; "two peers")]
#[test_case(1, 1.0; "a single peer may be wrong")]
fn new_node_follows_weight_that_two_peers_agree_on(peers: u64, weight: f64) {
    let mut zones = ZoneStates::new(3, ZoneConfig::default());
    let mut observations = observe(9, 10.0, &[], 1.0);
    observations.extend((0..peers).flat_map(|node| observe(node, 10.0, &[], 0.05)));
    zones.update(10.1, &observations, &[SIX_ENGINES; 3]);
    assert_eq!((zones.weight(1), zones.own_weight(1)), (weight, 1.0));
}

proptest! {
    /// For any sequence of observations, at least one zone receives traffic, and equal observations lead to
    /// equal decisions.
    #[test]
    fn some_zone_always_gets_traffic(
        rounds in proptest::collection::vec(
            proptest::collection::vec((0..4u64, 0..3usize, 0..40u32, proptest::collection::vec((0..6u64, 0..40u32), 0..6), 0..3u8), 0..8),
            1..40,
        ),
    ) {
        let (mut first, mut second) = (ZoneStates::new(3, ZoneConfig::default()), ZoneStates::new(3, ZoneConfig::default()));
        for (round_index, round) in rounds.iter().enumerate() {
            let now = 10.0 + 0.2 * round_index as f64;
            let ago = |twentieths: u32| now - f64::from(twentieths) / 20.0;
            let observations: Vec<ZoneObservation> = round
                .iter()
                .map(|(node, zone, responded, failures, half_weight)| ZoneObservation {
                    node: *node,
                    zone: *zone,
                    last_response_at: Some(ago(*responded)),
                    unreachable: failures.iter().map(|failure| (failure.0, ago(failure.1))).collect(),
                    weight: f64::from(*half_weight) / 2.0,
                })
                .collect();
            prop_assert_eq!(first.update(now, &observations, &[SIX_ENGINES; 3]), second.update(now, &observations, &[SIX_ENGINES; 3]));
            prop_assert!((0..3).any(|zone| first.weight(zone) > 0.0));
            prop_assert!((0..3).all(|zone| first.weight(zone) == second.weight(zone) && (0.0..=1.0).contains(&first.weight(zone))));
        }
    }

    /// The reports of up to five nodes reach each other late or not at all. The traffic of the whole fleet to
    /// a recovering zone stays within what the recovery steps allow for the time since the zone responds
    /// again.
    #[test]
    fn fleet_sends_a_recovering_zone_no_more_than_its_steps_allow(
        nodes in 2..6usize,
        delays in proptest::collection::vec(0..4usize, 30),
        partitioned in proptest::collection::vec(0..5usize, 0..2),
    ) {
        let config = ZoneConfig::default();
        let mut fleet: Vec<ZoneStates> = (0..nodes).map(|_| ZoneStates::new(3, config)).collect();
        let mut reports: Vec<Vec<Vec<ZoneObservation>>> = vec![Vec::new(); nodes];
        let (mut evacuated_at, responding_from) = (None, 14.0);
        for round in 0..60 {
            let now = 10.0 + 0.1 * round as f64;
            let is_down = (10.0..responding_from).contains(&now);
            for node in 0..nodes {
                let unreachable: Vec<(u64, f64)> =
                    if is_down { (0..6).map(|engine| (engine, now)).collect() } else { vec![] };
                let last_response_at = if is_down { 9.5 } else { now };
                let own = observe(node as u64, last_response_at, &unreachable, fleet[node].own_weight(1));
                reports[node].push(own.clone());
                let mut observations = own;
                let is_connected = |peer: usize| !partitioned.contains(&peer) && !partitioned.contains(&node);
                for peer in (0..nodes).filter(|&peer| peer != node && is_connected(peer)) {
                    let delay = delays[(node * 5 + peer + round) % delays.len()];
                    let latest = reports[peer].len().checked_sub(1 + delay);
                    observations.extend(latest.map(|index| reports[peer][index].clone()).unwrap_or_default());
                }
                fleet[node].update(now, &observations, &[SIX_ENGINES; 3]);
            }
            let sent = fleet.iter().map(|zones| zones.weight(1)).sum::<f64>() / nodes as f64;
            if evacuated_at.is_none() && sent == 0.0 {
                evacuated_at = Some(now);
            }
            if evacuated_at.is_some() && now >= responding_from {
                let step = ((now - responding_from - config.failback_delay_s) / config.recovery_step_s).floor();
                let allowed = if step < 0.0 { 0.0 } else { RECOVERY_WEIGHTS[(step as usize).min(3)] };
                prop_assert!(sent <= allowed + 1e-9, "weight {sent} at {now} s exceeds the allowed weight {allowed}");
            }
        }
        prop_assert!(evacuated_at.is_some_and(|at| at < 11.5), "zone was evacuated at {evacuated_at:?}");
    }
}
