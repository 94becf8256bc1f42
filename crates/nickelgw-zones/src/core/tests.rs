use super::*;
use proptest::prelude::*;
use test_case::test_case;

const SIX: ZoneCapacity = ZoneCapacity { prefill_engines: 3, decode_engines: 3 };

/// What a node saw of zone 1, and that it hears the others.
fn seen(node: u64, heard: f64, silent: &[(u64, f64)], part: f64) -> Vec<ZoneObservation> {
    let other = |zone| ZoneObservation {
        node,
        zone,
        last_response_at: Some(heard + 100.0),
        unreachable: vec![],
        weight: 1.0,
    };
    vec![
        other(0),
        ZoneObservation {
            node,
            zone: 1,
            last_response_at: Some(heard),
            unreachable: silent.to_vec(),
            weight: part,
        },
        other(2),
    ]
}

/// So many nodes that found so many engines of zone 1 silent at that time.
fn lost(nodes: u64, engines: u64, at: f64) -> Vec<ZoneObservation> {
    let silent = |n: u64| (0..engines).filter(|e| e % nodes == n).map(|e| (e, at)).collect::<Vec<_>>();
    (0..nodes).flat_map(|n| seen(n, 1.0, &silent(n), 1.0)).collect()
}

fn left() -> ZoneStates {
    let mut w = ZoneStates::new(3, ZoneConfig::default());
    w.update(10.0, &lost(3, 6, 10.0), &[SIX; 3]);
    w.update(10.3, &lost(3, 6, 10.0), &[SIX; 3]);
    assert_eq!(w.weight(1), 0.0);
    w
}

#[test_case(3, 6, true; "all of it, met by three")]
#[test_case(2, 3, true; "half of it, met by two")]
#[test_case(1, 6, true; "all of it, by the only node there is")]
#[test_case(3, 1, false; "one dead engine is no zone")]
#[test_case(3, 2, false; "nor are two of six")]
fn a_zone_is_left_when_enough_engines_are_silent(nodes: u64, engines: u64, leaves: bool) {
    let mut w = ZoneStates::new(3, ZoneConfig::default());
    w.update(10.0, &lost(nodes, engines, 10.0), &[SIX; 3]);
    assert_eq!(w.weight(1), 1.0, "a doubt stands for a while first");
    w.update(10.3, &lost(nodes, engines, 10.0), &[SIX; 3]);
    assert_eq!((w.weight(1) == 0.0, w.weight(0), w.weight(2)), (leaves, 1.0, 1.0));
}

/// One node that meets silence everywhere may be cut off itself, or lie.
#[test]
fn what_one_node_of_several_saw_is_no_zone() {
    let mut w = ZoneStates::new(3, ZoneConfig::default());
    let mut all = lost(1, 6, 10.0);
    all.extend((1..3).flat_map(|n| seen(n, 1.0, &[], 1.0)));
    for t in 0..20 {
        w.update(10.0 + 0.1 * f64::from(t), &all, &[SIX; 3]);
    }
    assert_eq!(w.weight(1), 1.0);
}

#[test]
fn an_engine_heard_by_anybody_ends_the_doubt() {
    let mut w = ZoneStates::new(3, ZoneConfig::default());
    let mut all = lost(3, 6, 10.0);
    w.update(10.0, &all, &[SIX; 3]);
    all.extend(seen(7, 9.9, &[], 1.0));
    w.update(10.4, &all, &[SIX; 3]);
    assert_eq!(w.state(1), Some(ZoneState::Active));
}

#[test]
fn the_last_zone_with_readers_and_writers_is_not_left() {
    let (readers, none) = (ZoneCapacity { prefill_engines: 6, decode_engines: 0 }, ZoneCapacity::default());
    for there in [[none, SIX, none], [readers, SIX, readers]] {
        let mut w = ZoneStates::new(3, ZoneConfig::default());
        for t in [10.0, 10.3, 10.6] {
            w.update(t, &lost(3, 6, 10.0), &there);
        }
        assert_eq!(w.weight(1), 1.0, "{there:?}");
    }
}

#[test]
fn a_return_goes_in_steps_and_a_step_back_at_once() {
    let mut w = left();
    let back = |at: f64| (0..3).flat_map(|n| seen(n, at, &[], 0.0)).collect::<Vec<_>>();
    w.update(12.0, &back(11.9), &[SIX; 3]);
    assert_eq!(w.own_weight(1), 0.0, "heard again it still waits");
    let mut parts = Vec::new();
    for t in 0..70 {
        let now = 12.5 + 0.1 * f64::from(t);
        w.update(now, &back(now), &[SIX; 3]);
        if parts.last() != Some(&w.own_weight(1)) {
            parts.push(w.own_weight(1));
        }
    }
    assert_eq!(parts, RECOVERY_WEIGHTS);
    // Again, and this time it fails in the second step.
    let mut w = left();
    for t in 0..20 {
        let now = 12.0 + 0.1 * f64::from(t);
        w.update(now, &back(now), &[SIX; 3]);
    }
    assert_eq!(w.own_weight(1), RECOVERY_WEIGHTS[1]);
    let failing: Vec<ZoneObservation> = (0..2).flat_map(|n| seen(n, 13.9, &[(n, 14.2)], 0.15)).collect();
    w.update(14.2, &failing, &[SIX; 3]);
    assert_eq!(w.own_weight(1), RECOVERY_WEIGHTS[0]);
}

#[test]
fn a_zone_that_flaps_waits_longer_each_time_up_to_a_bound() {
    let f = ZoneConfig { max_failback_delay_s: 4.0, ..ZoneConfig::default() };
    let mut w = ZoneStates::new(3, f);
    let (mut now, mut waits) = (10.0, Vec::new());
    for _ in 0..6 {
        w.update(now, &lost(3, 6, now), &[SIX; 3]);
        w.update(now + 0.4, &lost(3, 6, now), &[SIX; 3]);
        assert_eq!(w.own_weight(1), 0.0);
        let from = now + 1.0;
        now = from;
        while w.own_weight(1) == 0.0 {
            now += 0.05;
            let all: Vec<ZoneObservation> = (0..3).flat_map(|n| seen(n, now, &[], 0.0)).collect();
            w.update(now, &all, &[SIX; 3]);
        }
        waits.push(((now - from) * 2.0).round() / 2.0);
        now += 1.0;
    }
    assert_eq!(waits, [0.5, 1.0, 2.0, 4.0, 4.0, 4.0]);
}

/// A node just started knows nothing itself; two that agree hold it back, one does not.
#[test_case(2, 0.05; "two")]
#[test_case(1, 1.0; "one, who may lie")]
fn a_node_that_joins_follows_what_two_others_agree_in(others: u64, part: f64) {
    let mut w = ZoneStates::new(3, ZoneConfig::default());
    let mut all = seen(9, 10.0, &[], 1.0);
    all.extend((0..others).flat_map(|n| seen(n, 10.0, &[], 0.05)));
    w.update(10.1, &all, &[SIX; 3]);
    assert_eq!((w.weight(1), w.own_weight(1)), (part, 1.0));
}

proptest! {
    /// Whatever is seen, in whatever order: the rest can serve, and equal words give equal decisions.
    #[test]
    fn something_is_always_left_to_send_to(
        rounds in proptest::collection::vec(
            proptest::collection::vec((0..4u64, 0..3usize, 0..40u32, proptest::collection::vec((0..6u64, 0..40u32), 0..6), 0..3u8), 0..8),
            1..40,
        ),
    ) {
        let (mut a, mut b) = (ZoneStates::new(3, ZoneConfig::default()), ZoneStates::new(3, ZoneConfig::default()));
        for (n, round) in rounds.iter().enumerate() {
            let now = 10.0 + 0.2 * n as f64;
            let ago = |x: u32| now - f64::from(x) / 20.0;
            let all: Vec<ZoneObservation> = round
                .iter()
                .map(|(node, zone, heard, silent, part)| ZoneObservation {
                    node: *node,
                    zone: *zone,
                    last_response_at: Some(ago(*heard)),
                    unreachable: silent.iter().map(|s| (s.0, ago(s.1))).collect(),
                    weight: f64::from(*part) / 2.0,
                })
                .collect();
            prop_assert_eq!(a.update(now, &all, &[SIX; 3]), b.update(now, &all, &[SIX; 3]));
            prop_assert!((0..3).any(|z| a.weight(z) > 0.0));
            prop_assert!((0..3).all(|z| a.weight(z) == b.weight(z) && (0.0..=1.0).contains(&a.weight(z))));
        }
    }

    /// Up to five nodes, whose words reach each other late or not at all, some of them started anew on the way: what the
    /// fleet sends to a zone that has come back stays under what its steps allow by the time since it was heard again.
    #[test]
    fn the_fleet_sends_a_returning_zone_no_more_than_its_steps_allow(
        nodes in 2..6usize,
        lag in proptest::collection::vec(0..4usize, 30),
        cut in proptest::collection::vec(0..5usize, 0..2),
    ) {
        let f = ZoneConfig::default();
        let mut fleet: Vec<ZoneStates> = (0..nodes).map(|_| ZoneStates::new(3, f)).collect();
        let mut told: Vec<Vec<Vec<ZoneObservation>>> = vec![Vec::new(); nodes];
        let (mut left_at, back) = (None, 14.0);
        for round in 0..60 {
            let now = 10.0 + 0.1 * round as f64;
            let dead = (10.0..back).contains(&now);
            for n in 0..nodes {
                let silent: Vec<(u64, f64)> = if dead { (0..6).map(|e| (e, now)).collect() } else { vec![] };
                let heard = if dead { 9.5 } else { now };
                let own = seen(n as u64, heard, &silent, fleet[n].own_weight(1));
                told[n].push(own.clone());
                let mut all = own;
                for o in (0..nodes).filter(|&o| o != n && !cut.contains(&o) && !cut.contains(&n)) {
                    let late = lag[(n * 5 + o + round) % lag.len()];
                    let last = told[o].len().checked_sub(1 + late);
                    all.extend(last.map(|l| told[o][l].clone()).unwrap_or_default());
                }
                fleet[n].update(now, &all, &[SIX; 3]);
            }
            let sent = fleet.iter().map(|w| w.weight(1)).sum::<f64>() / nodes as f64;
            if left_at.is_none() && sent == 0.0 {
                left_at = Some(now);
            }
            if left_at.is_some() && now >= back {
                let step = ((now - back - f.failback_delay_s) / f.recovery_step_s).floor();
                let allowed = if step < 0.0 { 0.0 } else { RECOVERY_WEIGHTS[(step as usize).min(3)] };
                prop_assert!(sent <= allowed + 1e-9, "{sent} at {now}, {allowed} allowed");
            }
        }
        prop_assert!(left_at.is_some_and(|t| t < 11.5), "{left_at:?}");
    }
}
