//! Results of a rehearsal, printed as text.

use super::outcome::Outcome;
use super::SLACK_S;
use crate::error::{with_context, CommandError};
use nickelgw_audit::{AuditReport, RouteStats, Rule};
use std::collections::BTreeMap;
use std::path::Path;
use std::process::ExitCode;

/// Largest number of violations that are printed.
const MAX_PRINTED_VIOLATIONS: usize = 20;

/// Audits the records of an earlier run.
pub fn audit(dir: &Path) -> Result<ExitCode, CommandError> {
    let records_dir = dir.join("records");
    let dir = if records_dir.is_dir() { &records_dir } else { dir };
    let records = nickelgw_audit::read_records(dir).map_err(with_context(dir.display()))?;
    if records.is_empty() {
        return Err(CommandError(format!("{}: no records (*.jsonl) here", dir.display())));
    }
    let verdict = nickelgw_audit::audit(&records);
    print_routes(&nickelgw_audit::route_stats(&records));
    print_verdict(&verdict);
    Ok(if verdict.violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Prints one line for a day out of several.
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

/// Prints the full outcome of a single day.
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
    for (name, stats) in routes {
        print_route(name, stats);
    }
}

fn print_route(name: &str, stats: &RouteStats) {
    let quantile_ms = |quantile| {
        stats.ttft_quantile(quantile).map_or("-".into(), |seconds: f64| format!("{:.0} ms", 1e3 * seconds))
    };
    println!(
        "{:<14} {:>6} {:>9} {:>5} {:>7} {:>5} {:>4} {:>9} {:>7} {:>9} {:>9}",
        name,
        stats.requests,
        stats.completed,
        stats.rejected,
        stats.failed,
        stats.client_disconnects,
        stats.connection_failures,
        stats.completed_in_target,
        format!("{:.1}%", 100.0 * stats.distinct_in_target as f64 / stats.distinct_requests.max(1) as f64),
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
    for broken in verdict.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("  {}: {}", broken.rule.name(), broken.description);
        broken.evidence.iter().for_each(|evidence| println!("    {evidence}"));
    }
    print_not_judged(verdict);
    print_unattended_reservations(verdict);
    println!(
        "highest load of a cold engine: {:.0}% of the load that overloads it",
        100.0 * verdict.max_slow_start_load
    );
}

fn print_not_judged(verdict: &AuditReport) {
    if verdict.unconfirmed_removal_attempts > 0 {
        println!(
            "{} attempts not judged: one list removed their engine with so many others that the nodes may wait for \
             confirmation",
            verdict.unconfirmed_removal_attempts
        );
    }
    if verdict.excused_reservations > 0 {
        println!(
            "{} reservations not judged: their prefill engine was unreachable, or their node had died",
            verdict.excused_reservations
        );
    }
}

fn print_unattended_reservations(verdict: &AuditReport) {
    let unattended_ms = |quantile| verdict.unattended_quantile(quantile).map(|seconds| 1e3 * seconds);
    if let (Some(p50), Some(p99), Some(longest)) =
        (unattended_ms(0.5), unattended_ms(0.99), unattended_ms(1.0))
    {
        println!(
            "reservations without an attempt to fetch them: p50 {p50:.1} ms, p99 {p99:.1} ms, longest {longest:.0} ms, \
             of {}",
            verdict.unattended_s.len()
        );
    }
}
