use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn spec(class: TaskClass, interval_s: Option<f64>, estimated_s: f64) -> TaskSpec {
    TaskSpec { class, interval_s, deadline_s: 1.0, timeout_s: 2.0, estimated_s, estimated_bytes: 0.0 }
}

fn result(took_s: f64, succeeded: bool) -> RunResult {
    RunResult { took_s, bytes: 0.0, succeeded }
}

/// Simulates the scheduler until a time. Each run of a task takes the seconds given by the task's entry in
/// `takes_s`. Returns the total seconds of work done.
fn simulate(scheduler: &mut Scheduler, until: f64, takes_s: &[f64]) -> f64 {
    let (mut now, mut work_s) = (0.0f64, 0.0);
    let mut running: Vec<(f64, TaskId)> = Vec::new();
    while now < until {
        let (commands, wake_at) = scheduler.poll_commands(now);
        for command in commands {
            match command {
                TaskCommand::Run(id) => running.push((now + takes_s[id.0], id)),
                TaskCommand::Cancel(id) => running.retain(|run| run.1 != id),
            }
        }
        let next = running.iter().map(|run| run.0).chain(wake_at).fold(f64::INFINITY, f64::min);
        now = next.max(now + 1e-4).min(until);
        let (ended, still_running): (Vec<_>, Vec<_>) = running.drain(..).partition(|run| run.0 <= now);
        running = still_running;
        for (_, id) in ended {
            work_s += takes_s[id.0];
            scheduler.run_ended(now, id, result(takes_s[id.0], true));
        }
    }
    work_s
}

#[test]
fn all_classes_run_and_together_stay_within_time_share() {
    let mut scheduler = Scheduler::new(SchedulerConfig::default(), 1);
    // Demand far exceeds the budget: each task would take 1 s of work per second.
    let ids = [TaskClass::Required, TaskClass::Maintenance, TaskClass::Idle]
        .map(|class| scheduler.add(0.0, spec(class, Some(0.0), 0.01)));
    let work_s = simulate(&mut scheduler, 100.0, &[0.01; 3]);
    assert!(work_s < 100.0 * 0.02 + 0.2, "{work_s} s of work in 100 s");
    let runs = ids.map(|id| scheduler.counters(id).runs);
    assert!(runs[0] > runs[1] && runs[1] > runs[2] && runs[2] >= 3, "{runs:?}");
}

#[test]
fn run_that_does_not_end_is_cancelled_and_does_not_block_other_tasks() {
    let mut scheduler = Scheduler::new(
        SchedulerConfig { max_concurrent: 1, time_share: 0.5, ..SchedulerConfig::default() },
        1,
    );
    let stuck = scheduler.add(0.0, spec(TaskClass::Required, Some(1.0), 0.01));
    let other = scheduler.add(0.0, spec(TaskClass::Idle, Some(1.0), 0.01));
    simulate(&mut scheduler, 120.0, &[f64::INFINITY, 0.01]);
    let (stuck, other) = (scheduler.counters(stuck), scheduler.counters(other));
    assert!(stuck.timed_out >= 3 && other.runs > 20, "{stuck:?} {other:?}");
}

#[test]
fn failed_task_is_retried_with_growing_jittered_backoff() {
    let mut scheduler = Scheduler::new(SchedulerConfig { time_share: 1.0, ..SchedulerConfig::default() }, 3);
    let id = scheduler.add(0.0, spec(TaskClass::Maintenance, None, 0.001));
    scheduler.request(0.0, id);
    let (mut now, mut started_at) = (0.0, Vec::new());
    while started_at.len() < 10 {
        let (commands, wake_at) = scheduler.poll_commands(now);
        if commands.contains(&TaskCommand::Run(id)) {
            started_at.push(now);
            scheduler.run_ended(now, id, result(0.001, false));
            // A request does not shorten the backoff.
            scheduler.request(now, id);
            continue;
        }
        now = wake_at.unwrap();
    }
    let gaps: Vec<f64> = started_at.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps[0] >= 0.05 && gaps[0] <= 0.11 && gaps[8] >= 10.0 && gaps[8] <= 30.1, "{gaps:?}");
    assert!(scheduler.counters(id).failed == 10);
}

#[test]
fn task_requested_constantly_runs_at_rate_of_budget() {
    let mut scheduler = Scheduler::new(SchedulerConfig::default(), 1);
    let probe = scheduler.add(0.0, spec(TaskClass::Maintenance, None, 0.02));
    let (mut now, mut runs) = (0.0, 0);
    while now < 50.0 {
        scheduler.request(now, probe);
        for command in scheduler.poll_commands(now).0 {
            if let TaskCommand::Run(id) = command {
                runs += 1;
                scheduler.run_ended(now, id, result(0.02, true));
            }
        }
        assert!(scheduler.overdue(now).len() <= 1);
        now += 0.001;
    }
    // The budget of 2% of 50 s allows 50 runs of 0.02 s.
    assert!((45..=60).contains(&runs), "{runs} runs");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, rng_seed: RngSeed::Fixed(61), failure_persistence: None, ..ProptestConfig::default() })]
    /// For any mix of tasks, no task starves and all tasks together stay within the budget.
    #[test]
    fn no_task_starves_and_budget_is_kept(
        tasks in prop::collection::vec((0usize..3, 0.0..3.0f64, 0.001..0.04f64), 1..8), seed in any::<u64>(),
    ) {
        let config = SchedulerConfig { time_share: 0.1, ..SchedulerConfig::default() };
        let mut scheduler = Scheduler::new(config, seed);
        let classes = [TaskClass::Required, TaskClass::Maintenance, TaskClass::Idle];
        let ids: Vec<TaskId> = tasks
            .iter()
            .map(|(class, interval_s, took_s)| scheduler.add(0.0, spec(classes[*class], Some(*interval_s), *took_s)))
            .collect();
        let takes_s: Vec<f64> = tasks.iter().map(|task| task.2).collect();
        let work_s = simulate(&mut scheduler, 60.0, &takes_s);
        prop_assert!(work_s <= 60.0 * config.time_share + 2.0 * config.time_burst_s + 0.2, "{work_s} s of work in 60 s");
        let total_s: f64 = takes_s.iter().sum();
        for id in ids {
            let counters = scheduler.counters(id);
            // In the worst case each of the other tasks runs a few hundred times while this one waits.
            prop_assert!(counters.runs >= 1, "{counters:?}; one run of each task takes {total_s} s in total");
            prop_assert!(counters.max_wait_s < 30.0, "{counters:?}");
        }
    }
}
