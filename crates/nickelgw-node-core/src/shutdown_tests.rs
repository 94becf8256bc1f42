//! Tests of the shutdown stages: single cases, then random sequences of signals.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const CONFIG: ShutdownConfig = ShutdownConfig { announce_s: 1.0, drain_timeout_s: 5.0, exit_timeout_s: 0.5 };

fn remaining(open_requests: usize, reservations: usize, connections: usize) -> Remaining {
    Remaining { open_requests, reservations, connections }
}

#[test]
fn drained_node_exits_cleanly() {
    let mut lifecycle = ProcessLifecycle::new(CONFIG);
    lifecycle.endpoints_known();
    lifecycle.begin_drain(10.0, false);
    assert_eq!(
        lifecycle.poll_commands(10.0, remaining(3, 1, 4)),
        (vec![ShutdownCommand::AnnounceShutdown], Some(11.0))
    );
    assert_eq!(
        lifecycle.poll_commands(11.0, remaining(2, 1, 4)).0,
        vec![ShutdownCommand::StopListening, ShutdownCommand::StopAccepting]
    );
    assert_eq!(lifecycle.poll_commands(12.0, remaining(1, 0, 1)).0, vec![]);
    // The last stream has ended, and the last bytes of its connection are still being sent.
    assert_eq!(lifecycle.poll_commands(12.5, remaining(0, 0, 1)).0, vec![]);
    assert_eq!(lifecycle.poll_commands(12.6, remaining(0, 0, 0)).0, vec![ShutdownCommand::Exit(Exit::Clean)]);
}

#[test]
fn requests_open_after_the_drain_timeout_are_failed() {
    let mut lifecycle = ProcessLifecycle::new(CONFIG);
    lifecycle.begin_drain(0.0, true);
    assert_eq!(
        lifecycle.poll_commands(0.0, remaining(1, 1, 1)).0,
        vec![ShutdownCommand::AnnounceShutdown, ShutdownCommand::StopListening]
    );
    assert_eq!(lifecycle.poll_commands(1.0, remaining(1, 1, 1)).0, vec![ShutdownCommand::StopAccepting]);
    assert_eq!(lifecycle.poll_commands(6.0, remaining(1, 1, 1)).0, vec![ShutdownCommand::FailAllOpen]);
    assert_eq!(lifecycle.poll_commands(6.1, remaining(0, 1, 0)).0, vec![]);
    assert_eq!(
        lifecycle.poll_commands(6.5, remaining(0, 1, 0)).0,
        vec![ShutdownCommand::Exit(Exit::ReservationsLeft)]
    );
}

#[test]
fn each_further_signal_skips_a_stage() {
    let mut lifecycle = ProcessLifecycle::new(CONFIG);
    lifecycle.begin_drain(0.0, false);
    lifecycle.poll_commands(0.0, remaining(1, 0, 1));
    lifecycle.skip_stage(0.1);
    assert!(lifecycle.poll_commands(0.1, remaining(1, 0, 1)).0.contains(&ShutdownCommand::StopAccepting));
    lifecycle.skip_stage(0.2);
    assert_eq!(lifecycle.poll_commands(0.2, remaining(1, 0, 1)).0, vec![ShutdownCommand::FailAllOpen]);
    lifecycle.skip_stage(0.25);
    assert_eq!(
        lifecycle.poll_commands(0.25, remaining(0, 0, 1)).0,
        vec![ShutdownCommand::Exit(Exit::RequestsCut)]
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(41), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn stages_only_advance_commands_come_once_and_the_process_exits_in_time(
        steps in prop::collection::vec((0u8..6, 0usize..3, 0.0..0.6f64), 1..80),
    ) {
        let (mut lifecycle, mut now, mut commands, mut drain_began_at) = (ProcessLifecycle::new(CONFIG), 0.0, Vec::new(), None);
        let mut ended = None;
        let rank = |s: Stage| match s {
            Stage::Starting => 0, Stage::Serving => 1, Stage::Announcing { .. } => 2,
            Stage::Draining { .. } => 3, Stage::Ending { .. } => 4, Stage::Exited(_) => 5,
        };
        for (event, count, elapsed_s) in steps {
            now += elapsed_s;
            let before = rank(lifecycle.stage());
            match event {
                0 => lifecycle.endpoints_known(),
                1 => { lifecycle.begin_drain(now, count == 1); drain_began_at = drain_began_at.or(Some(now)); }
                2 if drain_began_at.is_some() => lifecycle.skip_stage(now),
                _ => {}
            }
            commands.extend(lifecycle.poll_commands(now, remaining(count, count, count)).0);
            ended = ended.or(matches!(lifecycle.stage(), Stage::Exited(_)).then_some(now));
            prop_assert!(rank(lifecycle.stage()) >= before);
        }
        if let Some(drain_began_at) = drain_began_at {
            let mut wake = Some(now);
            while let Some(at) = wake.filter(|_| rank(lifecycle.stage()) < 5) {
                now = at.max(now + 1e-3);
                let (more, next) = lifecycle.poll_commands(now, remaining(1, 1, 1));
                commands.extend(more);
                wake = next;
            }
            // A poll comes up to 0.6 s late.
            let latest = drain_began_at + CONFIG.announce_s + CONFIG.drain_timeout_s + CONFIG.exit_timeout_s + 0.6;
            prop_assert_eq!(rank(lifecycle.stage()), 5);
            prop_assert!(ended.unwrap_or(now) <= latest);
            prop_assert_eq!(commands.iter().filter(|command| matches!(command, ShutdownCommand::Exit(_))).count(), 1);
        }
        for command in &commands {
            prop_assert_eq!(commands.iter().filter(|other| *other == command).count(), 1, "{:?}", command);
        }
        let position = |wanted: ShutdownCommand| commands.iter().position(|command| *command == wanted);
        if let (Some(stop_accepting), Some(fail_all)) = (position(ShutdownCommand::StopAccepting), position(ShutdownCommand::FailAllOpen)) {
            prop_assert!(position(ShutdownCommand::StopListening) < Some(stop_accepting) && stop_accepting < fail_all);
        }
    }
}
