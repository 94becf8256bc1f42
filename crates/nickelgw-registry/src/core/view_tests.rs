use super::*;
use nickelgw_protocol::list::EngineRole;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn line(n: u32, state: EngineState) -> EndpointEntry {
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

fn view(n: u32) -> EndpointView {
    let mut v = EndpointView::new(Figures::default());
    v.replace_all(0.0, 10, (0..n).map(|k| line(k, EngineState::Active)).collect(), false);
    v
}

fn inside(v: &EndpointView) -> usize {
    v.lines().iter().filter(|l| l.state == EngineState::Active).count()
}

#[test]
fn an_empty_list_is_doubted_and_drains_in_it_act_at_once() {
    let mut v = view(10);
    let mut lines = vec![line(3, EngineState::Draining)];
    v.replace_all(1.0, 11, lines.clone(), false);
    assert_eq!((inside(&v), v.doubted(), v.to_probe().len()), (9, 9, 9));
    assert_eq!(v.lines().iter().find(|l| l.id == "e3").unwrap().state, EngineState::Draining);
    // Those that do not answer are gone indeed; the others stay while the doubt lasts.
    (0..3).for_each(|n| v.probed(1.2, &format!("e{n}"), n == 2));
    assert_eq!(inside(&v), 7);
    // The list is whole again: nothing happened.
    lines = (0..10).map(|k| line(k, EngineState::Active)).collect();
    v.replace_all(5.0, 12, lines, false);
    assert_eq!((inside(&v), v.doubted()), (10, 0));
    v.replace_all(6.0, 13, Vec::new(), false);
    assert_eq!(inside(&v), 10);
    // It has stood long enough: then it is so.
    assert_eq!(v.tick(65.0), Some(66.0));
    v.tick(66.0);
    assert_eq!(inside(&v), 0);
}

#[test]
fn emptied_piece_by_piece_it_is_doubted_all_the_same_and_a_few_are_not() {
    let mut v = view(10);
    v.apply_events(1.0, 11, vec![Event::Gone("e0".into()), Event::Gone("e1".into())]);
    assert_eq!((inside(&v), v.doubted()), (8, 0));
    for n in 2u32..10 {
        v.apply_events(1.0 + f64::from(n), 10 + u64::from(n), vec![Event::Gone(format!("e{n}"))]);
    }
    // One by one they are rolling: each is under the share at its time. In one batch they are not.
    assert_eq!((inside(&v), v.doubted()), (0, 0));
    let mut v = view(10);
    v.apply_events(1.0, 11, (0..6).map(|n| Event::Gone(format!("e{n}"))).collect());
    v.apply_events(1.1, 12, vec![Event::Gone("e6".into())]);
    assert_eq!((inside(&v), v.doubted()), (10, 7));
}

#[test]
fn one_that_comes_and_goes_is_held_out_until_it_is_calm() {
    let mut v = view(10);
    let mut now = 1.0;
    for k in 0..5u64 {
        v.apply_events(now, 11 + 2 * k, vec![Event::Gone("e4".into())]);
        v.apply_events(now + 0.5, 12 + 2 * k, vec![Event::Put(line(4, EngineState::Active))]);
        now += 1.0;
    }
    assert_eq!((inside(&v), v.len(), v.counters.flapping > 0), (9, 10, true));
    while inside(&v) < 10 {
        now += v.tick(now).map_or(1.0, |w| w - now).max(0.1);
        assert!(now < 60.0);
    }
    assert!(now > 15.0);
}

#[test]
fn another_process_under_an_id_is_a_new_one_and_an_address_has_one() {
    let mut v = view(4);
    let moved = EndpointEntry { address: "10.0.0.99:80".into(), ..line(1, EngineState::Active) };
    v.apply_events(5.0, 11, vec![Event::Put(moved)]);
    assert_eq!(v.renewed(), ["e1"]);
    // Deleted and put in one batch; another role.
    v.apply_events(6.0, 12, vec![Event::Gone("e2".into()), Event::Put(line(2, EngineState::Active))]);
    v.apply_events(
        7.0,
        13,
        vec![Event::Put(EndpointEntry { role: EngineRole::Decode, ..line(0, EngineState::Active) })],
    );
    assert_eq!(v.renewed(), ["e0", "e2"]);
    // A record of an address that another has: the one heard last lives there.
    v.apply_events(
        8.0,
        14,
        vec![Event::Put(EndpointEntry { id: "new".into(), ..line(3, EngineState::Active) })],
    );
    assert_eq!((v.len(), v.counters.doubles), (4, 1));
    // An older revision says nothing; one that the registry went back to does.
    v.replace_all(9.0, 3, vec![line(1, EngineState::Active)], false);
    assert_eq!((v.len(), v.revision()), (4, 14));
    v.replace_all(9.0, 3, (0..4).map(|n| line(n, EngineState::Active)).collect(), true);
    assert_eq!((v.revision(), v.counters.rolled_back), (3, 1));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1000, rng_seed: RngSeed::Fixed(81), failure_persistence: None, ..ProptestConfig::default() })]
    /// A model registry, and a watch that breaks at random: events are repeated, cut off, or lost with a compaction and
    /// followed by a full read. Once all is heard and doubt is over, the view is the registry; an engine that drains is
    /// never believed to be in.
    #[test]
    fn after_any_breaks_the_view_is_the_registry(
        steps in prop::collection::vec((0u8..10, 0u32..8, 0.0..3.0f64), 1..120),
    ) {
        // No damping here: it is meant to differ from the registry for a while.
        let mut v = EndpointView::new(Figures { flap_out: 1e9, doubt_s: 5.0, ..Figures::default() });
        let mut registry: BTreeMap<String, EndpointEntry> = BTreeMap::new();
        let (mut revision, mut log, mut heard, mut now) = (1u64, Vec::<(u64, Event)>::new(), 1u64, 0.0);
        for (what, n, dt) in steps {
            now += dt;
            match what {
                0..=3 => {
                    let state = if what == 3 { EngineState::Draining } else { EngineState::Active };
                    let l = line(n, state);
                    revision += 1;
                    registry.insert(l.id.clone(), l.clone());
                    log.push((revision, Event::Put(l)));
                }
                4 => if registry.remove(&format!("e{n}")).is_some() {
                    revision += 1;
                    log.push((revision, Event::Gone(format!("e{n}"))));
                }
                // The watch delivers up to somewhere, some of it twice.
                5..=7 => {
                    let upto = heard + u64::from(n);
                    let from = heard.saturating_sub(u64::from(what) - 5);
                    for (r, e) in log.iter().filter(|l| l.0 > from && l.0 <= upto) {
                        v.apply_events(now, *r, vec![e.clone()]);
                        heard = heard.max(*r);
                    }
                }
                // Compacted: a full read.
                8 => { v.replace_all(now, revision, registry.values().cloned().collect(), false); heard = revision; }
                _ => { v.tick(now); }
            }
            for l in v.lines() {
                if heard == revision && registry.get(&l.id).is_some_and(|r| r.state == EngineState::Draining) {
                    prop_assert!(l.state != EngineState::Active, "{} drains", l.id);
                }
            }
        }
        for (r, e) in log.iter().filter(|l| l.0 > heard) {
            v.apply_events(now, *r, vec![e.clone()]);
        }
        v.tick(now + 6.0);
        v.tick(now + 12.0);
        let mut seen: Vec<(String, EngineState)> = v.lines().into_iter().map(|l| (l.id, l.state)).collect();
        seen.sort_by(|a, b| a.0.cmp(&b.0));
        let want: Vec<(String, EngineState)> = registry.into_values().map(|l| (l.id, l.state)).collect();
        prop_assert_eq!(seen, want);
    }
}
