use super::*;
use nickelgw_protocol::list::EngineRole;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn entry(n: u32, state: EngineState) -> EndpointEntry {
    EndpointEntry {
        id: format!("e{n}"),
        address: format!("10.0.0.{n}:80"),
        zone: "a".into(),
        cell: 0,
        role: if n.is_multiple_of(2) { EngineRole::Prefill } else { EngineRole::Decode },
        memory_tokens: 1e5,
        state,
        started_at: None,
        tls_name: None,
    }
}

fn view_of(n: u32) -> EndpointView {
    let mut view = EndpointView::new(EndpointViewConfig::default());
    view.replace_all(0.0, 10, (0..n).map(|number| entry(number, EngineState::Active)).collect(), false);
    view
}

fn active(view: &EndpointView) -> usize {
    view.entries().iter().filter(|entry| entry.state == EngineState::Active).count()
}

#[test]
fn empty_list_is_suspected_and_drain_takes_effect_at_once() {
    let mut view = view_of(10);
    let mut entries = vec![entry(3, EngineState::Draining)];
    view.replace_all(1.0, 11, entries.clone(), false);
    assert_eq!((active(&view), view.suspected(), view.take_probes().len()), (9, 9, 9));
    assert_eq!(view.entries().iter().find(|entry| entry.id == "e3").unwrap().state, EngineState::Draining);
    // Endpoints that do not answer a probe are removed; the others stay until the suspicion times out.
    (0..3).for_each(|n| view.probe_finished(1.2, &format!("e{n}"), n == 2));
    assert_eq!(active(&view), 7);
    // A complete list clears the suspicion.
    entries = (0..10).map(|number| entry(number, EngineState::Active)).collect();
    view.replace_all(5.0, 12, entries, false);
    assert_eq!((active(&view), view.suspected()), (10, 0));
    view.replace_all(6.0, 13, Vec::new(), false);
    assert_eq!(active(&view), 10);
    // The suspicion times out.
    assert_eq!(view.tick(65.0), Some(66.0));
    view.tick(66.0);
    assert_eq!(active(&view), 0);
}

#[test]
fn large_removal_is_suspected_and_few_removals_are_not() {
    let mut view = view_of(10);
    view.apply_events(1.0, 11, vec![RegistryEvent::Delete("e0".into()), RegistryEvent::Delete("e1".into())]);
    assert_eq!((active(&view), view.suspected()), (8, 0));
    for n in 2u32..10 {
        view.apply_events(
            1.0 + f64::from(n),
            10 + u64::from(n),
            vec![RegistryEvent::Delete(format!("e{n}"))],
        );
    }
    // In a rolling deployment, each removal alone is below the threshold; in one batch, they exceed it.
    assert_eq!((active(&view), view.suspected()), (0, 0));
    let mut view = view_of(10);
    view.apply_events(1.0, 11, (0..6).map(|n| RegistryEvent::Delete(format!("e{n}"))).collect());
    view.apply_events(1.1, 12, vec![RegistryEvent::Delete("e6".into())]);
    assert_eq!((active(&view), view.suspected()), (10, 7));
}

#[test]
fn flapping_endpoint_is_suppressed_until_its_penalty_decays() {
    let mut view = view_of(10);
    let mut now = 1.0;
    for number in 0..5u64 {
        view.apply_events(now, 11 + 2 * number, vec![RegistryEvent::Delete("e4".into())]);
        view.apply_events(
            now + 0.5,
            12 + 2 * number,
            vec![RegistryEvent::Put(entry(4, EngineState::Active))],
        );
        now += 1.0;
    }
    assert_eq!((active(&view), view.len(), view.counters.flapping > 0), (9, 10, true));
    while active(&view) < 10 {
        now += view.tick(now).map_or(1.0, |tick_at| tick_at - now).max(0.1);
        assert!(now < 60.0);
    }
    assert!(now > 15.0);
}

#[test]
fn replaced_process_is_reported_and_address_belongs_to_one_endpoint() {
    let mut view = view_of(4);
    let moved = EndpointEntry { address: "10.0.0.99:80".into(), ..entry(1, EngineState::Active) };
    view.apply_events(5.0, 11, vec![RegistryEvent::Put(moved)]);
    assert_eq!(view.take_replaced(), ["e1"]);
    // The process is replaced if its entry is deleted and put in one batch, or changes its role.
    view.apply_events(
        6.0,
        12,
        vec![RegistryEvent::Delete("e2".into()), RegistryEvent::Put(entry(2, EngineState::Active))],
    );
    view.apply_events(
        7.0,
        13,
        vec![RegistryEvent::Put(EndpointEntry { role: EngineRole::Decode, ..entry(0, EngineState::Active) })],
    );
    assert_eq!(view.take_replaced(), ["e0", "e2"]);
    // Of two entries with the same address, the newer one is that of the process that listens there.
    view.apply_events(
        8.0,
        14,
        vec![RegistryEvent::Put(EndpointEntry { id: "new".into(), ..entry(3, EngineState::Active) })],
    );
    assert_eq!((view.len(), view.counters.duplicate_addresses), (4, 1));
    // An older revision is ignored, unless the registry itself was rolled back to it.
    view.replace_all(9.0, 3, vec![entry(1, EngineState::Active)], false);
    assert_eq!((view.len(), view.revision()), (4, 14));
    view.replace_all(9.0, 3, (0..4).map(|n| entry(n, EngineState::Active)).collect(), true);
    assert_eq!((view.revision(), view.counters.rolled_back), (3, 1));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1000, rng_seed: RngSeed::Fixed(81), failure_persistence: None, ..ProptestConfig::default() })]
    /// The watch of a model registry fails at random: events are repeated, delayed, or lost by a compaction,
    /// which causes a full read. Once all events are received and suspicions have timed out, the view equals
    /// the registry. A draining engine is never active in an up-to-date view.
    #[test]
    fn view_converges_to_registry_after_failed_watches(
        steps in prop::collection::vec((0u8..10, 0u32..8, 0.0..3.0f64), 1..120),
    ) {
        // Flap damping is disabled, since it makes the view differ from the registry for a while.
        let mut view = EndpointView::new(EndpointViewConfig { flap_suppress_threshold: 1e9, suspicion_timeout_s: 5.0, ..EndpointViewConfig::default() });
        let mut registry: BTreeMap<String, EndpointEntry> = BTreeMap::new();
        let (mut revision, mut log, mut received, mut now) = (1u64, Vec::<(u64, RegistryEvent)>::new(), 1u64, 0.0);
        for (action, n, pause_s) in steps {
            now += pause_s;
            match action {
                0..=3 => {
                    let state = if action == 3 { EngineState::Draining } else { EngineState::Active };
                    let put = entry(n, state);
                    revision += 1;
                    registry.insert(put.id.clone(), put.clone());
                    log.push((revision, RegistryEvent::Put(put)));
                }
                4 => if registry.remove(&format!("e{n}")).is_some() {
                    revision += 1;
                    log.push((revision, RegistryEvent::Delete(format!("e{n}"))));
                }
                // The watch delivers events up to a random revision, some of them twice.
                5..=7 => {
                    let upto = received + u64::from(n);
                    let from = received.saturating_sub(u64::from(action) - 5);
                    for (at, event) in log.iter().filter(|logged| logged.0 > from && logged.0 <= upto) {
                        view.apply_events(now, *at, vec![event.clone()]);
                        received = received.max(*at);
                    }
                }
                // A compaction causes a full read.
                8 => { view.replace_all(now, revision, registry.values().cloned().collect(), false); received = revision; }
                _ => { view.tick(now); }
            }
            for listed in view.entries() {
                if received == revision && registry.get(&listed.id).is_some_and(|registered| registered.state == EngineState::Draining) {
                    prop_assert!(listed.state != EngineState::Active, "draining endpoint {} is active in the view", listed.id);
                }
            }
        }
        for (at, event) in log.iter().filter(|logged| logged.0 > received) {
            view.apply_events(now, *at, vec![event.clone()]);
        }
        view.tick(now + 6.0);
        view.tick(now + 12.0);
        let mut viewed: Vec<(String, EngineState)> = view.entries().into_iter().map(|entry| (entry.id, entry.state)).collect();
        viewed.sort_by(|x, y| x.0.cmp(&y.0));
        let expected: Vec<(String, EngineState)> = registry.into_values().map(|entry| (entry.id, entry.state)).collect();
        prop_assert_eq!(viewed, expected);
    }
}
