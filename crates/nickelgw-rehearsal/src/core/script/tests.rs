use super::*;
use nickelgw_settings::proto::Day;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const DAY: &str = "name: 'd' length_s: 60 nodes: 6 zones: 'a' zones: 'b'
    engines { name: 'ra' role: READER zone: 'a' count: 4 } engines { name: 'wb' role: WRITER zone: 'b' count: 3 }
    model_route { model: 'chat' first_token_target_ms: 500 route_timeout_ms: 3000 }
    traffic { model: 'chat' rate_per_s: 10 } ";

fn day_with(faults: &str) -> Day {
    nickelgw_settings::parse_day("test", &format!("{DAY}{faults}")).unwrap()
}

#[test]
fn troubles_expand_to_faults_of_the_configured_share() {
    let day = day_with(
        "fault { at_s: 5 kind: CRASH target: 'readers' part: 0.5 for_s: 9 }
        fault { at_s: 20 kind: ZONE_LOSS target: 'b' for_s: 5 }
        fault { at_s: 30 kind: AGEING target: 'wb1' for_s: 10 factor: 6 }
        fault { at_s: 40 kind: BALANCER_ROLL for_s: 12 } fault { at_s: 50 kind: MASS_RESTART for_s: 8 }",
    );
    let script = Script::from_day(&day, 1);
    assert!(targets_exist(&day, &script));
    let faults_between = |kind: Kind, from: f64, to: f64| {
        script
            .faults
            .iter()
            .filter(move |fault| fault.kind() == kind && fault.at_s >= from && fault.at_s < to)
            .collect::<Vec<_>>()
    };
    assert_eq!(faults_between(Kind::Die, 5.0, 6.0).len(), 2);
    assert_eq!(
        (faults_between(Kind::Die, 20.0, 21.0).len(), faults_between(Kind::KillNode, 20.0, 21.0).len()),
        (3, 3)
    );
    let factors: Vec<f64> =
        faults_between(Kind::Slow, 30.0, 40.0).iter().map(|fault| fault.factor()).collect();
    assert_eq!(factors, [2.0, 3.0, 4.0, 5.0, 6.0]);
    // The rolling restart takes the nodes one at a time, each back up before the next goes down. The mass
    // restart takes all nodes in four waves; the last node of the rolling restart falls into its interval.
    let roll = faults_between(Kind::KillNode, 40.0, 50.0);
    assert!(roll.windows(2).all(|pair| pair[1].at_s >= pair[0].at_s + pair[0].for_s()));
    assert_eq!((roll.len(), faults_between(Kind::KillNode, 50.0, 60.0).len()), (5, 6 + 1));
    assert_eq!(script.troubles.len(), 5);
}

#[test]
fn traffic_changes_apply_only_during_their_interval() {
    let day = day_with("fault { at_s: 5 kind: BURST factor: 3 for_s: 5 } fault { at_s: 8 kind: BURST factor: 2 for_s: 5 }
        fault { at_s: 1 kind: HOT_KEY share: 0.4 for_s: 3 } fault { at_s: 2 kind: RETRY_ABUSE share: 0.2 for_s: 2 }");
    let script = Script::from_day(&day, 1);
    assert_eq!([1.0, 6.0, 9.0, 12.0, 14.0].map(|at_s| script.rate_multiple(at_s)), [1.0, 3.0, 6.0, 2.0, 1.0]);
    assert_eq!(
        (
            script.max_rate_multiple(),
            script.hot_key_share(2.0),
            script.hot_key_share(5.0),
            script.retry_abuse_share(3.0)
        ),
        (6.0, 0.4, 0.0, 0.2)
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, rng_seed: RngSeed::Fixed(71), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn script_is_deterministic_and_has_valid_single_faults(
        kinds in prop::collection::vec((20i32..37, 0.0..50.0f64, 0.0..20.0f64, 0.0..1.0f64), 1..8), seed in any::<u64>(),
    ) {
        let mut day = day_with("");
        for (number, at_s, for_s, part) in kinds {
            let Ok(kind) = Kind::try_from(number) else { continue };
            let zone = matches!(kind, Kind::ZoneLoss | Kind::ZoneCut);
            let target = zone.then(|| "b".to_string());
            day.fault.push(Fault { at_s, kind: number, target, for_s: Some(for_s), part: Some(part), ..Fault::default() });
        }
        let (script, again) = (Script::from_day(&day, seed), Script::from_day(&day, seed));
        prop_assert_eq!(&script.faults, &again.faults);
        prop_assert!(targets_exist(&day, &script));
        prop_assert!(script.faults.windows(2).all(|pair| pair[0].at_s <= pair[1].at_s));
        let is_single = |fault: &Fault| (fault.kind() as i32) < 20;
        prop_assert!(script.faults.iter().all(is_single), "the script contains a trouble that was not expanded");
    }
}
