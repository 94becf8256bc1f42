//! What a rehearsal is found to have kept, as a table for people.

use super::*;

/// Judges records again, without a run.
pub fn audit(dir: &Path) -> Result<ExitCode, Unusable> {
    let inner = dir.join("records");
    let dir = if inner.is_dir() { inner } else { dir.to_path_buf() };
    let lines =
        nickelgw_audit::read_records(&dir).map_err(|e| Unusable(format!("{}: {e}", dir.display())))?;
    if lines.is_empty() {
        return Err(Unusable(format!("{}: no records (*.jsonl) here", dir.display())));
    }
    let verdict = nickelgw_audit::audit(&lines);
    table(&nickelgw_audit::route_stats(&lines));
    say(&verdict);
    Ok(if verdict.violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(1) })
}

pub(super) fn table(routes: &BTreeMap<String, RouteStats>) {
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
    for (name, s) in routes {
        let ms = |q| s.ttft_quantile(q).map_or("-".into(), |x: f64| format!("{:.0} ms", 1e3 * x));
        println!(
            "{:<14} {:>6} {:>9} {:>5} {:>7} {:>5} {:>4} {:>9} {:>7} {:>9} {:>9}",
            name,
            s.requests,
            s.completed,
            s.rejected,
            s.failed,
            s.client_disconnects,
            s.connection_failures,
            s.completed_in_target,
            format!("{:.1}%", 100.0 * s.distinct_in_target as f64 / s.distinct_requests.max(1) as f64),
            ms(0.5),
            ms(0.99)
        );
    }
}

pub(super) fn say(v: &AuditReport) {
    for r in Rule::ALL {
        let judged = v.checked.get(r.name()).copied().unwrap_or(0);
        let word = match v.count(r) {
            0 => "kept".to_string(),
            n => format!("BROKEN {n} times"),
        };
        println!("{:<7} {word}: {} ({judged} judged)", r.name(), r.description());
    }
    for b in v.violations.iter().take(20) {
        println!("  {}: {}", b.rule.name(), b.description);
        b.evidence.iter().for_each(|e| println!("    {e}"));
    }
    if v.unconfirmed_removal_attempts > 0 {
        println!(
            "{} sends to engines that one word took away with too many others: in doubt, not judged",
            v.unconfirmed_removal_attempts
        );
    }
    if v.excused_reservations > 0 {
        println!(
            "{} states not judged: their reader was cut off, or their node dead",
            v.excused_reservations
        );
    }
    if let (Some(p50), Some(p99), Some(longest)) =
        (v.unattended_quantile(0.5), v.unattended_quantile(0.99), v.unattended_quantile(1.0))
    {
        let ms = |s: f64| 1e3 * s;
        println!(
            "states without a taker at their readers: p50 {:.1} ms, p99 {:.1} ms, longest {:.0} ms, of {}",
            ms(p50),
            ms(p99),
            ms(longest),
            v.unattended_s.len()
        );
    }
    println!(
        "nearest to pushing over a cold engine: {:.0}% of what it stands",
        100.0 * v.max_slow_start_load
    );
}
