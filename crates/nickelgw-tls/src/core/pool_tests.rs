use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeSet;

fn config() -> PoolConfig {
    PoolConfig {
        max_handshakes: 4,
        max_handshakes_per_engine: 2,
        max_waiting: 8,
        max_idle: 3,
        ..PoolConfig::default()
    }
}

fn open_connection(pool: &mut Pool, now: f64, engine: &str, waiter: u64) -> ConnectionId {
    assert_eq!(pool.checkout(now, engine, WaiterId(waiter)), Checkout::Open);
    pool.handshake_succeeded(now, WaiterId(waiter), 0).unwrap()
}

#[test]
fn most_recently_used_idle_connection_is_reused_first() {
    let mut pool = Pool::new(config());
    let (first, second) = (open_connection(&mut pool, 0.0, "e", 1), open_connection(&mut pool, 0.0, "e", 2));
    pool.returned(1.0, "e", first);
    pool.returned(2.0, "e", second);
    assert_eq!(pool.checkout(2.0, "e", WaiterId(3)), Checkout::Reuse(second));
    assert_eq!(pool.checkout(2.0, "e", WaiterId(4)), Checkout::Reuse(first));
    assert_eq!(pool.checkout(2.0, "e", WaiterId(5)), Checkout::Open);
}

#[test]
fn handshakes_stay_within_the_budgets_of_engine_and_node() {
    let mut pool = Pool::new(config());
    let answers: Vec<_> = (0..3).map(|n| pool.checkout(0.0, "a", WaiterId(n))).collect();
    assert_eq!(answers, [Checkout::Open, Checkout::Open, Checkout::Wait]);
    assert_eq!(pool.checkout(0.0, "b", WaiterId(10)), Checkout::Open);
    assert_eq!(pool.checkout(0.0, "connection", WaiterId(20)), Checkout::Open);
    assert_eq!(pool.checkout(0.0, "d", WaiterId(30)), Checkout::Wait);
    // The node's free handshake goes to the first waiter that may use it.
    pool.handshake_succeeded(0.1, WaiterId(10), 0);
    assert_eq!(pool.poll_commands(0.1).0, [PoolCommand::Notify(WaiterId(30), Checkout::Open)]);
    let conn = pool.handshake_succeeded(0.2, WaiterId(0), 0).unwrap();
    assert_eq!(pool.poll_commands(0.2).0, [PoolCommand::Notify(WaiterId(2), Checkout::Open)]);
    // A returned connection is used before a handshake is made.
    assert_eq!(pool.checkout(0.3, "a", WaiterId(4)), Checkout::Wait);
    pool.returned(0.3, "a", conn);
    assert_eq!(pool.poll_commands(0.3).0, [PoolCommand::Notify(WaiterId(4), Checkout::Reuse(conn))]);
}

#[test]
fn untrusted_engine_is_in_backoff_and_takes_no_budget() {
    let mut pool = Pool::new(config());
    let mut attempts = 0;
    let mut now = 0.0;
    // 100 checkouts per second for 10 s.
    for n in 0..1000 {
        now += 0.01;
        if pool.checkout(now, "bad", WaiterId(n)) == Checkout::Open {
            attempts += 1;
            pool.handshake_failed(now, WaiterId(n), ConnectFailure::Untrusted);
        }
        assert_eq!(pool.opening(), 0);
    }
    assert!((3..=8).contains(&attempts), "{attempts}");
    // After a rotation the engine is tried again at once.
    pool.rotate(now, 1);
    assert_eq!(pool.checkout(now, "bad", WaiterId(5000)), Checkout::Open);
}

#[test]
fn failed_handshake_rejects_all_waiters_for_that_engine_only() {
    let mut pool = Pool::new(config());
    (0..2).map(|n| pool.checkout(0.0, "a", WaiterId(n))).for_each(|_| {});
    (2..4).map(|n| pool.checkout(0.0, "b", WaiterId(n))).for_each(|_| {});
    assert_eq!(pool.checkout(0.0, "a", WaiterId(4)), Checkout::Wait);
    assert_eq!(pool.checkout(0.0, "b", WaiterId(5)), Checkout::Wait);
    pool.handshake_failed(0.1, WaiterId(0), ConnectFailure::Unreachable);
    assert_eq!(pool.poll_commands(0.1).0, [PoolCommand::Notify(WaiterId(4), Checkout::Rejected)]);
    assert_eq!(pool.waiting(), 1);
}

#[test]
fn rotation_closes_idle_connections_step_by_step() {
    let mut pool = Pool::new(config());
    let all: Vec<ConnectionId> = (0..3).map(|n| open_connection(&mut pool, 0.0, "e", n)).collect();
    all.iter().for_each(|&connection| pool.returned(0.0, "e", connection));
    pool.rotate(1.0, 1);
    // Connections of the older generation are still used.
    assert!(matches!(pool.checkout(1.0, "e", WaiterId(9)), Checkout::Reuse(_)));
    let (mut now, mut closed) = (1.0, Vec::new());
    while closed.len() < 2 {
        let (commands, poll_at) = pool.poll_commands(now);
        assert!(commands.len() <= 1, "at most one connection closed at a time");
        closed.extend(commands.iter().map(|_| now));
        now = poll_at.unwrap_or(now).max(now + 1e-3);
    }
    assert!(closed[1] - closed[0] >= 0.19, "{closed:?}");
    // The connection in use is closed when it is returned.
    let used = all[2];
    pool.returned(now, "e", used);
    assert_eq!(pool.poll_commands(now).0, [PoolCommand::Close(used)]);
}

#[test]
fn waiters_over_the_limit_are_rejected_and_abandoning_frees_a_slot() {
    let mut pool = Pool::new(config());
    (0..10).map(|n| pool.checkout(0.0, "a", WaiterId(n))).for_each(|_| {});
    assert_eq!((pool.waiting(), pool.checkout(0.0, "a", WaiterId(10))), (8, Checkout::Rejected));
    pool.abandon(0.1, WaiterId(5));
    assert_eq!((pool.waiting(), pool.checkout(0.1, "a", WaiterId(11))), (7, Checkout::Wait));
    // An abandoned handshake frees its slot for the next waiter.
    pool.abandon(0.2, WaiterId(0));
    assert_eq!(pool.poll_commands(0.2).0, [PoolCommand::Notify(WaiterId(2), Checkout::Open)]);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn any_order_of_events_respects_the_budget_and_starves_no_waiter(
        steps in prop::collection::vec((0u8..9, 0usize..64, 0.0..0.4f64), 1..200),
    ) {
        let limits = config();
        let mut pool = Pool::new(limits.clone());
        let (mut now, mut next, mut generation) = (0.0, 0u64, 0u64);
        let mut opening: Vec<(WaiterId, usize)> = Vec::new();
        let mut waiting: Vec<(WaiterId, usize)> = Vec::new();
        let mut in_use: Vec<(ConnectionId, usize)> = Vec::new();
        let mut known: BTreeSet<ConnectionId> = BTreeSet::new();
        let name = |engine: usize| format!("e{engine}");
        let apply_commands = |pool: &mut Pool, now: f64, opening: &mut Vec<(WaiterId, usize)>,
                      waiting: &mut Vec<(WaiterId, usize)>, in_use: &mut Vec<(ConnectionId, usize)>| {
            for command in pool.poll_commands(now).0 {
                if let PoolCommand::Notify(waiter, answer) = command {
                    let n = waiting.iter().position(|pending| pending.0 == waiter).expect("notified a waiter that was not waiting");
                    let (_, engine) = waiting.remove(n);
                    match answer {
                        Checkout::Open => opening.push((waiter, engine)),
                        Checkout::Reuse(connection) => {
                            assert!(!in_use.iter().any(|checked_out| checked_out.0 == connection), "connection checked out twice");
                            in_use.push((connection, engine));
                        }
                        Checkout::Rejected => {}
                        Checkout::Wait => panic!("a waiter was told to wait again"),
                    }
                }
            }
        };
        for (action, choice, pause_s) in steps {
            now += pause_s;
            match action {
                0..=3 => {
                    next += 1;
                    let engine = choice % 5;
                    match pool.checkout(now, &name(engine), WaiterId(next)) {
                        Checkout::Open => opening.push((WaiterId(next), engine)),
                        Checkout::Wait => waiting.push((WaiterId(next), engine)),
                        Checkout::Reuse(connection) => {
                            prop_assert!(!in_use.iter().any(|checked_out| checked_out.0 == connection));
                            in_use.push((connection, engine));
                        }
                        Checkout::Rejected => {}
                    }
                }
                4 if !opening.is_empty() => {
                    let (waiter, engine) = opening.remove(choice % opening.len());
                    let connection = pool.handshake_succeeded(now, waiter, generation).unwrap();
                    prop_assert!(known.insert(connection));
                    in_use.push((connection, engine));
                }
                5 if !opening.is_empty() => {
                    let (waiter, _) = opening.remove(choice % opening.len());
                    pool.handshake_failed(now, waiter, if choice % 2 == 0 { ConnectFailure::Untrusted } else { ConnectFailure::Unreachable });
                }
                6 if !in_use.is_empty() => {
                    let (connection, engine) = in_use.remove(choice % in_use.len());
                    if choice % 3 == 0 { pool.closed(now, &name(engine), connection) } else { pool.returned(now, &name(engine), connection) }
                }
                7 => {
                    generation += 1;
                    pool.rotate(now, generation);
                }
                8 if !waiting.is_empty() => {
                    let (waiter, _) = waiting.remove(choice % waiting.len());
                    pool.abandon(now, waiter);
                }
                _ => {}
            }
            apply_commands(&mut pool, now, &mut opening, &mut waiting, &mut in_use);
            prop_assert_eq!(pool.opening(), opening.len());
            prop_assert!(opening.len() <= limits.max_handshakes);
            for engine in 0..5 {
                prop_assert!(opening.iter().filter(|handshake| handshake.1 == engine).count() <= limits.max_handshakes_per_engine);
                prop_assert!(pool.idle(&name(engine)) <= limits.max_idle);
            }
            prop_assert_eq!(pool.waiting(), waiting.len());
            prop_assert!(waiting.len() <= limits.max_waiting);
        }
        // Once handshakes complete, all waiters are served in a bounded time.
        for _ in 0..200 {
            while let Some((waiter, engine)) = opening.pop() {
                let connection = pool.handshake_succeeded(now, waiter, generation).unwrap();
                in_use.push((connection, engine));
                apply_commands(&mut pool, now, &mut opening, &mut waiting, &mut in_use);
            }
            now += 0.1;
            apply_commands(&mut pool, now, &mut opening, &mut waiting, &mut in_use);
        }
        prop_assert!(waiting.is_empty(), "starved: {:?}", waiting);
    }
}
