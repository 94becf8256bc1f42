//! What a rehearsal is found to have kept, as text for people.

use super::outcome::Outcome;
use super::SLACK_S;
use crate::error::{about, CommandError};
use nickelgw_audit::{AuditReport, RouteStats, Rule};
use std::collections::BTreeMap;
use std::path::Path;
use std::process::ExitCode;

/// Breaks of rules that are printed at most.
const MAX_PRINTED_BREAKS: usize = 20;

/// Judges records again, without a run.
pub fn audit(dir: &Path) -> Result<ExitCode, CommandError> {
    let records = dir.join("records");
    let dir = if records.is_dir() { &records } else { dir };
    let lines = nickelgw_audit::read_records(dir).map_err(about(dir.display()))?;
    if lines.is_empty() {
        return Err(CommandError(format!("{}: no records (*.jsonl) here", dir.display())));
    }
    let verdict = nickelgw_audit::audit(&lines);
    print_routes(&nickelgw_audit::route_stats(&lines));
    print_verdict(&verdict);
    Ok(if verdict.violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// One day of several, in a line.
pub(super) fn print_line(outcome: &Outcome) {
    let served = 100.0 * outcome.series.whole_day().served_fraction().unwrap_or(0.0);
    let worst = outcome.series.worst_window();
    let worst = worst.map_or("-".into(), |worst| format!("{:.0}%", 100.0 * worst.served_fraction));
    println!(
        "{:<16} served {served:>5.1}%, worst 10 s {worst:>4}, rules broken {}",
        outcome.day.name,
        outcome.verdict.violations.len()
    );
}

/// A single day, in full.
pub(super) fn print_outcome(outcome: &Outcome) {
    print_routes(&outcome.routes);
    print_verdict(&outcome.verdict);
    let (stall_ms, allowed_ms) = (1e3 * outcome.longest_stall_s, 1e3 * SLACK_S);
    println!("longest stall of the driver itself: {stall_ms:.0} ms (allowed for: {allowed_ms:.0} ms)");
}

fn print_routes(routes: &BTreeMap<String, RouteStats>) {
    println!(
        "{:<14} {:>6} {:>9} {:>5} {:>7} {:>5} {:>4} {:>9} {:>7} {:>9} {:>9}",
        "model route",
        "taken",
        "completed",
        "shed",
        "errored",
        "left",
        "cut",
        "in target",
        "served",
        "first p50",
        "p99"
    );
    for (name, service) in routes {
        print_route(name, service);
    }
}

fn print_route(name: &str, service: &RouteStats) {
    let quantile_ms = |quantile| {
        service.ttft_quantile(quantile).map_or("-".into(), |seconds: f64| format!("{:.0} ms", 1e3 * seconds))
    };
    println!(
        "{:<14} {:>6} {:>9} {:>5} {:>7} {:>5} {:>4} {:>9} {:>7} {:>9} {:>9}",
        name,
        service.requests,
        service.completed,
        service.rejected,
        service.failed,
        service.client_disconnects,
        service.connection_failures,
        service.completed_in_target,
        format!(
            "{:.1}%",
            100.0 * service.distinct_in_target as f64 / service.distinct_requests.max(1) as f64
        ),
        quantile_ms(0.5),
        quantile_ms(0.99)
    );
}

fn print_verdict(verdict: &AuditReport) {
    for rule in Rule::ALL {
        let judged = verdict.checked.get(rule.name()).copied().unwrap_or(0);
        let result = match verdict.count(rule) {
            0 => "kept".to_string(),
            breaks => format!("BROKEN {breaks} times"),
        };
        println!("{:<7} {result}: {} ({judged} judged)", rule.name(), rule.description());
    }
    for broken in verdict.violations.iter().take(MAX_PRINTED_BREAKS) {
        println!("  {}: {}", broken.rule.name(), broken.description);
        broken.evidence.iter().for_each(|evidence| println!("    {evidence}"));
    }
    print_not_judged(verdict);
    print_held_states(verdict);
    println!(
        "nearest to pushing over a cold engine: {:.0}% of what it stands",
        100.0 * verdict.max_slow_start_load
    );
}

fn print_not_judged(verdict: &AuditReport) {
    if verdict.unconfirmed_removal_attempts > 0 {
        println!(
            "{} sends to engines that one word took away with too many others: in doubt, not judged",
            verdict.unconfirmed_removal_attempts
        );
    }
    if verdict.excused_reservations > 0 {
        println!(
            "{} states not judged: their reader was cut off, or their node dead",
            verdict.excused_reservations
        );
    }
}

fn print_held_states(verdict: &AuditReport) {
    let held_ms = |quantile| verdict.unattended_quantile(quantile).map(|seconds| 1e3 * seconds);
    if let (Some(p50), Some(p99), Some(longest)) = (held_ms(0.5), held_ms(0.99), held_ms(1.0)) {
        println!(
            "states without a taker at their readers: p50 {p50:.1} ms, p99 {p99:.1} ms, longest {longest:.0} ms, of {}",
            verdict.unattended_s.len()
        );
    }
}
