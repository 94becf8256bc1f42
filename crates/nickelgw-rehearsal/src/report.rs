//! Report of rehearsed days: one HTML file with the charts embedded as SVG.

mod chart;

use crate::core::script::Trouble;
use crate::core::series::{Series, WORST_WINDOW_S};
use nickelgw_audit::{AuditReport, RouteStats, Rule};
use std::collections::BTreeMap;
use std::fmt::Write;

pub use chart::chart;

/// Largest number of rule violations that a report lists for one day.
const MAX_LISTED_VIOLATIONS: usize = 20;

/// Content of the report of one day.
pub struct DayReport<'a> {
    /// Name of the day.
    pub name: &'a str,
    /// Seed of the run.
    pub seed: u64,
    /// Service over time.
    pub series: &'a Series,
    /// Troubles of the day, before their expansion to single faults.
    pub troubles: &'a [Trouble],
    /// Results by model route.
    pub routes: &'a BTreeMap<String, RouteStats>,
    /// Result of the audit of the rules.
    pub verdict: &'a AuditReport,
    /// Further notes about the run, such as what was scaled down.
    pub notes: &'a [String],
}

/// Escapes the characters of a text that have a meaning in HTML.
pub fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

/// Renders the HTML page of one or more days.
pub fn render_page(title: &str, days: &[DayReport]) -> String {
    let sections: String = days.iter().map(day_section).collect();
    format!(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>{0}</title><style>body{{font-family:sans-serif;\
         max-width:960px;margin:2em auto;color:#222}}table{{border-collapse:collapse}}td,th{{padding:2px 10px;text-align:right;\
         border-bottom:1px solid #ddd}}td:first-child,th:first-child{{text-align:left}}</style></head><body><h1>{0}</h1>\
         <p>Run on loopback with test engines. The rules were checked on what crossed the sockets.</p>{sections}</body></html>\n",
        escape_html(title)
    )
}

fn day_section(report: &DayReport) -> String {
    let mut html = String::new();
    push_summary(&mut html, report);
    html.push_str(&chart(report).unwrap_or_else(|| "<p>The chart could not be drawn.</p>".into()));
    push_routes(&mut html, report);
    push_rules(&mut html, report);
    html
}

fn push_summary(html: &mut String, report: &DayReport) {
    let _ = write!(
        html,
        "<h2 id=\"{0}\">{0}</h2><p>seed {1}; served in target: {2:.1}%",
        escape_html(report.name),
        report.seed,
        100.0 * report.series.whole_day().served_fraction().unwrap_or(0.0)
    );
    if let Some(worst) = report.series.worst_window() {
        let percent = 100.0 * worst.served_fraction;
        let _ = write!(html, "; worst {WORST_WINDOW_S} s: {percent:.1}%, from second {}", worst.start_s);
    }
    html.push_str("</p>");
}

fn push_routes(html: &mut String, report: &DayReport) {
    html.push_str("<table><tr><th>model route</th><th>wanted</th><th>served</th><th>completed</th><th>shed</th><th>errored</th><th>first token p50</th><th>p99</th></tr>");
    for (name, stats) in report.routes {
        let quantile_ms = |quantile| {
            stats
                .ttft_quantile(quantile)
                .map_or("-".into(), |seconds: f64| format!("{:.0} ms", 1e3 * seconds))
        };
        let served_percent = 100.0 * stats.distinct_in_target as f64 / stats.distinct_requests.max(1) as f64;
        let _ = write!(html, "<tr><td>{}</td><td>{}</td><td>{served_percent:.1}%</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>", escape_html(name), stats.distinct_requests, stats.completed, stats.rejected, stats.failed, quantile_ms(0.5), quantile_ms(0.99));
    }
    html.push_str("</table>");
}

fn push_rules(html: &mut String, report: &DayReport) {
    html.push_str("<ul>");
    for rule in Rule::ALL {
        let violations = report.verdict.count(rule);
        let checked = report.verdict.checked.get(rule.name()).copied().unwrap_or(0);
        let result =
            if violations == 0 { "kept".to_string() } else { format!("<b>broken {violations} times</b>") };
        let _ = write!(html, "<li>{}: {result} ({checked} judged): {}</li>", rule.name(), rule.description());
    }
    for violation in report.verdict.violations.iter().take(MAX_LISTED_VIOLATIONS) {
        let _ = write!(
            html,
            "<li><b>{}</b>: {}</li>",
            violation.rule.name(),
            escape_html(&violation.description)
        );
    }
    for note in report.notes {
        let _ = write!(html, "<li>{}</li>", escape_html(note));
    }
    html.push_str("</ul>");
}

#[cfg(test)]
mod tests;
