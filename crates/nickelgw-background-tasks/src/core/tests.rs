use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn spec(class: TaskClass, every_s: Option<f64>, takes_s: f64) -> TaskSpec {
    TaskSpec { class, every_s, deadline_s: 1.0, most_s: 2.0, takes_s, bytes: 0.0 }
}

/// Plays virtual time: a run of a task takes what its entry says. Gives the seconds of work done.
fn play(s: &mut Scheduler, until: f64, takes: &[f64]) -> f64 {
    let (mut now, mut work, mut out): (f64, f64, Vec<(f64, TaskId)>) = (0.0, 0.0, Vec::new());
    while now < until {
        let (todo, wake) = s.due(now);
        for d in todo {
            match d {
                TaskCommand::Run(id) => out.push((now + takes[id.0], id)),
                TaskCommand::Cancel(id) => out.retain(|o| o.1 != id),
            }
        }
        let next = out.iter().map(|o| o.0).chain(wake).fold(f64::INFINITY, f64::min);
        now = next.max(now + 1e-4).min(until);
        let (ended, on): (Vec<_>, Vec<_>) = out.drain(..).partition(|o| o.0 <= now);
        out = on;
        for (_, id) in ended {
            work += takes[id.0];
            s.ended(now, id, takes[id.0], 0.0, true);
        }
    }
    work
}

#[test]
fn all_classes_run_and_together_keep_to_their_share() {
    let mut s = Scheduler::new(Figures::default(), 1);
    // Wanted far more than may be had: 1 s of work a second each.
    let ids = [TaskClass::Required, TaskClass::Maintenance, TaskClass::Idle]
        .map(|c| s.add(0.0, spec(c, Some(0.0), 0.01)));
    let work = play(&mut s, 100.0, &[0.01; 3]);
    assert!(work < 100.0 * 0.02 + 0.2, "{work} s");
    let runs = ids.map(|id| s.account(id).runs);
    assert!(runs[0] > runs[1] && runs[1] > runs[2] && runs[2] >= 3, "{runs:?}");
}

#[test]
fn what_does_not_end_is_given_up_and_holds_nobody_up() {
    let mut s = Scheduler::new(Figures { most_at_once: 1, time_share: 0.5, ..Figures::default() }, 1);
    let stuck = s.add(0.0, spec(TaskClass::Required, Some(1.0), 0.01));
    let other = s.add(0.0, spec(TaskClass::Idle, Some(1.0), 0.01));
    play(&mut s, 120.0, &[f64::INFINITY, 0.01]);
    let (stuck, other) = (s.account(stuck), s.account(other));
    assert!(stuck.given_up >= 3 && other.runs > 20, "{stuck:?} {other:?}");
}

#[test]
fn failures_come_again_at_growing_gaps_with_chance() {
    let mut s = Scheduler::new(Figures { time_share: 1.0, ..Figures::default() }, 3);
    let id = s.add(0.0, spec(TaskClass::Maintenance, None, 0.001));
    s.want(0.0, id);
    let (mut now, mut at) = (0.0, Vec::new());
    while at.len() < 10 {
        let (todo, wake) = s.due(now);
        if todo.contains(&TaskCommand::Run(id)) {
            at.push(now);
            s.ended(now, id, 0.001, 0.0, false);
            // Asking again does not get round the gap.
            s.want(now, id);
            continue;
        }
        now = wake.unwrap();
    }
    let gaps: Vec<f64> = at.windows(2).map(|w| w[1] - w[0]).collect();
    assert!(gaps[0] >= 0.05 && gaps[0] <= 0.11 && gaps[8] >= 10.0 && gaps[8] <= 30.1, "{gaps:?}");
    assert!(s.account(id).failed == 10);
}

#[test]
fn asked_for_faster_than_the_budget_lets_it_runs_at_the_budgets_pace() {
    let mut s = Scheduler::new(Figures::default(), 1);
    let probe = s.add(0.0, spec(TaskClass::Maintenance, None, 0.02));
    let (mut now, mut runs) = (0.0, 0);
    while now < 50.0 {
        s.want(now, probe);
        for d in s.due(now).0 {
            if let TaskCommand::Run(id) = d {
                runs += 1;
                s.ended(now, id, 0.02, 0.0, true);
            }
        }
        assert!(s.overdue(now).len() <= 1);
        now += 0.001;
    }
    // 2% of 50 s, 0.02 s each.
    assert!((45..=60).contains(&runs), "{runs}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, rng_seed: RngSeed::Fixed(61), failure_persistence: None, ..ProptestConfig::default() })]
    /// Whatever the tasks: none starves, the budget holds over any length, never more at once than may be.
    #[test]
    fn no_starvation_and_budgets_kept(
        tasks in prop::collection::vec((0usize..3, 0.0..3.0f64, 0.001..0.04f64), 1..8), seed in any::<u64>(),
    ) {
        let f = Figures { time_share: 0.1, ..Figures::default() };
        let mut s = Scheduler::new(f, seed);
        let classes = [TaskClass::Required, TaskClass::Maintenance, TaskClass::Idle];
        let ids: Vec<TaskId> = tasks.iter().map(|t| s.add(0.0, spec(classes[t.0], Some(t.1), t.2))).collect();
        let takes: Vec<f64> = tasks.iter().map(|t| t.2).collect();
        let work = play(&mut s, 60.0, &takes);
        prop_assert!(work <= 60.0 * f.time_share + 2.0 * f.time_burst_s + 0.2, "{work}");
        let all: f64 = takes.iter().sum();
        for id in ids {
            let a = s.account(id);
            // In the worst case each of the others runs a few hundred times in its wait.
            prop_assert!(a.runs >= 1, "{a:?} of {all}");
            prop_assert!(a.longest_wait_s < 30.0, "{a:?}");
        }
    }
}
