use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeSet;

fn figures() -> Figures {
    Figures { at_once: 4, at_once_engine: 2, most_waiting: 8, most_idle: 3, ..Figures::default() }
}

fn opened(p: &mut Pool, now: f64, engine: &str, asker: u64) -> ConnectionId {
    assert_eq!(p.want(now, engine, WaiterId(asker)), Checkout::Open);
    p.opened(now, WaiterId(asker), 0).unwrap()
}

#[test]
fn an_open_connection_is_reused_the_latest_first() {
    let mut p = Pool::new(figures());
    let (a, b) = (opened(&mut p, 0.0, "e", 1), opened(&mut p, 0.0, "e", 2));
    p.returned(1.0, "e", a);
    p.returned(2.0, "e", b);
    assert_eq!(p.want(2.0, "e", WaiterId(3)), Checkout::Reuse(b));
    assert_eq!(p.want(2.0, "e", WaiterId(4)), Checkout::Reuse(a));
    assert_eq!(p.want(2.0, "e", WaiterId(5)), Checkout::Open);
}

#[test]
fn handshakes_keep_to_the_engines_and_the_nodes_budget() {
    let mut p = Pool::new(figures());
    let answers: Vec<_> = (0..3).map(|n| p.want(0.0, "a", WaiterId(n))).collect();
    assert_eq!(answers, [Checkout::Open, Checkout::Open, Checkout::Wait]);
    assert_eq!(p.want(0.0, "b", WaiterId(10)), Checkout::Open);
    assert_eq!(p.want(0.0, "c", WaiterId(20)), Checkout::Open);
    assert_eq!(p.want(0.0, "d", WaiterId(30)), Checkout::Wait);
    // Room for the node goes to the first who may use it.
    p.opened(0.1, WaiterId(10), 0);
    assert_eq!(p.due(0.1).0, [PoolCommand::Notify(WaiterId(30), Checkout::Open)]);
    let conn = p.opened(0.2, WaiterId(0), 0).unwrap();
    assert_eq!(p.due(0.2).0, [PoolCommand::Notify(WaiterId(2), Checkout::Open)]);
    // A connection that comes back is better than a handshake.
    assert_eq!(p.want(0.3, "a", WaiterId(4)), Checkout::Wait);
    p.returned(0.3, "a", conn);
    assert_eq!(p.due(0.3).0, [PoolCommand::Notify(WaiterId(4), Checkout::Reuse(conn))]);
}

#[test]
fn an_engine_not_trusted_is_left_alone_and_takes_no_budget() {
    let mut p = Pool::new(figures());
    let mut tries = 0;
    let mut now = 0.0;
    // Asked for a hundred times a second, for ten seconds.
    for n in 0..1000 {
        now += 0.01;
        if p.want(now, "bad", WaiterId(n)) == Checkout::Open {
            tries += 1;
            p.failed(now, WaiterId(n), ConnectFailure::Untrusted);
        }
        assert_eq!(p.opening(), 0);
    }
    assert!((3..=8).contains(&tries), "{tries}");
    // Put right by a rotation it is tried at once.
    p.rotate(now, 1);
    assert_eq!(p.want(now, "bad", WaiterId(5000)), Checkout::Open);
}

#[test]
fn a_failure_is_told_to_all_who_wait_for_that_engine_only() {
    let mut p = Pool::new(figures());
    (0..2).map(|n| p.want(0.0, "a", WaiterId(n))).for_each(|_| {});
    (2..4).map(|n| p.want(0.0, "b", WaiterId(n))).for_each(|_| {});
    assert_eq!(p.want(0.0, "a", WaiterId(4)), Checkout::Wait);
    assert_eq!(p.want(0.0, "b", WaiterId(5)), Checkout::Wait);
    p.failed(0.1, WaiterId(0), ConnectFailure::Unreachable);
    assert_eq!(p.due(0.1).0, [PoolCommand::Notify(WaiterId(4), Checkout::Rejected)]);
    assert_eq!(p.waiting(), 1);
}

#[test]
fn a_rotation_lets_unused_connections_go_step_by_step() {
    let mut p = Pool::new(figures());
    let all: Vec<ConnectionId> = (0..3).map(|n| opened(&mut p, 0.0, "e", n)).collect();
    all.iter().for_each(|&c| p.returned(0.0, "e", c));
    p.rotate(1.0, 1);
    // Still good for work at once.
    assert!(matches!(p.want(1.0, "e", WaiterId(9)), Checkout::Reuse(_)));
    let (mut now, mut closed) = (1.0, Vec::new());
    while closed.len() < 2 {
        let (todo, wake) = p.due(now);
        assert!(todo.len() <= 1, "one at a time");
        closed.extend(todo.iter().map(|_| now));
        now = wake.unwrap_or(now).max(now + 1e-3);
    }
    assert!(closed[1] - closed[0] >= 0.19, "{closed:?}");
    // The one in use is closed when it comes back.
    let used = all[2];
    p.returned(now, "e", used);
    assert_eq!(p.due(now).0, [PoolCommand::Close(used)]);
}

#[test]
fn too_many_who_wait_are_refused_and_those_who_go_free_their_place() {
    let mut p = Pool::new(figures());
    (0..10).map(|n| p.want(0.0, "a", WaiterId(n))).for_each(|_| {});
    assert_eq!((p.waiting(), p.want(0.0, "a", WaiterId(10))), (8, Checkout::Rejected));
    p.gave_up(0.1, WaiterId(5));
    assert_eq!((p.waiting(), p.want(0.1, "a", WaiterId(11))), (7, Checkout::Wait));
    // An opener that goes gives its handshake to the next.
    p.gave_up(0.2, WaiterId(0));
    assert_eq!(p.due(0.2).0, [PoolCommand::Notify(WaiterId(2), Checkout::Open)]);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn any_order_of_events_keeps_budget_and_starves_nobody(
        steps in prop::collection::vec((0u8..9, 0usize..64, 0.0..0.4f64), 1..200),
    ) {
        let f = figures();
        let mut p = Pool::new(f.clone());
        let (mut now, mut next, mut generation) = (0.0, 0u64, 0u64);
        let mut opening: Vec<(WaiterId, usize)> = Vec::new();
        let mut waiting: Vec<(WaiterId, usize)> = Vec::new();
        let mut busy: Vec<(ConnectionId, usize)> = Vec::new();
        let mut known: BTreeSet<ConnectionId> = BTreeSet::new();
        let name = |e: usize| format!("e{e}");
        let settle = |p: &mut Pool, now: f64, opening: &mut Vec<(WaiterId, usize)>,
                      waiting: &mut Vec<(WaiterId, usize)>, busy: &mut Vec<(ConnectionId, usize)>| {
            for d in p.due(now).0 {
                if let PoolCommand::Notify(a, answer) = d {
                    let n = waiting.iter().position(|w| w.0 == a).expect("only who waits is told");
                    let (_, e) = waiting.remove(n);
                    match answer {
                        Checkout::Open => opening.push((a, e)),
                        Checkout::Reuse(c) => {
                            assert!(!busy.iter().any(|b| b.0 == c), "handed out twice");
                            busy.push((c, e));
                        }
                        Checkout::Rejected => {}
                        Checkout::Wait => panic!("told to wait"),
                    }
                }
            }
        };
        for (what, pick, dt) in steps {
            now += dt;
            match what {
                0..=3 => {
                    next += 1;
                    let e = pick % 5;
                    match p.want(now, &name(e), WaiterId(next)) {
                        Checkout::Open => opening.push((WaiterId(next), e)),
                        Checkout::Wait => waiting.push((WaiterId(next), e)),
                        Checkout::Reuse(c) => {
                            prop_assert!(!busy.iter().any(|b| b.0 == c));
                            busy.push((c, e));
                        }
                        Checkout::Rejected => {}
                    }
                }
                4 if !opening.is_empty() => {
                    let (a, e) = opening.remove(pick % opening.len());
                    let c = p.opened(now, a, generation).unwrap();
                    prop_assert!(known.insert(c));
                    busy.push((c, e));
                }
                5 if !opening.is_empty() => {
                    let (a, _) = opening.remove(pick % opening.len());
                    p.failed(now, a, if pick % 2 == 0 { ConnectFailure::Untrusted } else { ConnectFailure::Unreachable });
                }
                6 if !busy.is_empty() => {
                    let (c, e) = busy.remove(pick % busy.len());
                    if pick % 3 == 0 { p.closed(now, &name(e), c) } else { p.returned(now, &name(e), c) }
                }
                7 => {
                    generation += 1;
                    p.rotate(now, generation);
                }
                8 if !waiting.is_empty() => {
                    let (a, _) = waiting.remove(pick % waiting.len());
                    p.gave_up(now, a);
                }
                _ => {}
            }
            settle(&mut p, now, &mut opening, &mut waiting, &mut busy);
            prop_assert_eq!(p.opening(), opening.len());
            prop_assert!(opening.len() <= f.at_once);
            for e in 0..5 {
                prop_assert!(opening.iter().filter(|o| o.1 == e).count() <= f.at_once_engine);
                prop_assert!(p.idle(&name(e)) <= f.most_idle);
            }
            prop_assert_eq!(p.waiting(), waiting.len());
            prop_assert!(waiting.len() <= f.most_waiting);
        }
        // Handshakes that end let all who wait through, in a bounded time.
        for _ in 0..200 {
            while let Some((a, e)) = opening.pop() {
                let c = p.opened(now, a, generation).unwrap();
                busy.push((c, e));
                settle(&mut p, now, &mut opening, &mut waiting, &mut busy);
            }
            now += 0.1;
            settle(&mut p, now, &mut opening, &mut waiting, &mut busy);
        }
        prop_assert!(waiting.is_empty(), "starved: {:?}", waiting);
    }
}
