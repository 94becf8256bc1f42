//! The report page: one HTML file with its charts inside.

use crate::core::script::Trouble;
use crate::core::series::{Series, Span, WORST_S};
use nickelgw_audit::{AuditReport, RouteStats, Rule};
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::fmt::Write;

pub struct Played<'a> {
    pub name: &'a str,
    pub seed: u64,
    pub series: &'a Series,
    pub troubles: &'a [Trouble],
    pub routes: &'a BTreeMap<String, RouteStats>,
    pub verdict: &'a AuditReport,
    pub notes: &'a [String],
}

const COLOURS: [RGBColor; 5] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 96, 40),
    RGBColor(44, 140, 60),
    RGBColor(130, 90, 180),
    RGBColor(120, 120, 40),
];
/// Seconds that a point of the chart takes in: less is noise at these rates.
const SMOOTH_S: usize = 3;

/// Text that may stand in HTML.
pub fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

/// Part served in target by model route over time, troubles as bands. None where the library cannot draw it.
pub fn chart(p: &Played) -> Option<String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (920, 340)).into_drawing_area();
        area.fill(&WHITE).ok()?;
        let end = p.series.seconds as f64;
        let mut c = ChartBuilder::on(&area)
            .margin(10)
            .x_label_area_size(34)
            .y_label_area_size(44)
            .build_cartesian_2d(0.0..end, 0.0..105.0f64)
            .ok()?;
        let mesh = &mut c.configure_mesh();
        mesh.x_desc("seconds").y_desc("served in target, %").light_line_style(WHITE).draw().ok()?;
        for (n, t) in p.troubles.iter().enumerate() {
            let to = t.to_s.min(end).max(t.from_s + 0.3);
            let band =
                Rectangle::new([(t.from_s, 0.0), (to, 100.0)], RGBColor(200, 60, 60).mix(0.10).filled());
            c.draw_series([band]).ok()?;
            let at = (t.from_s, 4.0 + 6.0 * (n % 6) as f64);
            let style = ("sans-serif", 11).into_font().color(&RGBColor(150, 40, 40));
            c.draw_series([Text::new(t.name.clone(), at, style)]).ok()?;
        }
        for ((name, spans), colour) in p.series.routes.iter().zip(COLOURS.iter().cycle()) {
            let points = (0..spans.len()).filter_map(|n| {
                let mut sum = Span::default();
                for s in &spans[n..spans.len().min(n + SMOOTH_S)] {
                    (sum.wanted, sum.served) = (sum.wanted + s.wanted, sum.served + s.served);
                }
                Some((n as f64, 100.0 * sum.share()?))
            });
            let line = c.draw_series(LineSeries::new(points, colour.stroke_width(2))).ok()?;
            let colour = *colour;
            line.label(name.clone()).legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
        }
        let legend = &mut c.configure_series_labels();
        legend.background_style(WHITE.mix(0.8)).border_style(BLACK.mix(0.3)).draw().ok()?;
        area.present().ok()?;
    }
    Some(svg)
}

fn part(p: &Played) -> String {
    let mut s = String::new();
    let all = p.series.sum(0, p.series.seconds);
    let _ = write!(
        s,
        "<h2 id=\"{0}\">{0}</h2><p>seed {1}; served in target: {2:.1}%",
        escaped(p.name),
        p.seed,
        100.0 * all.share().unwrap_or(0.0)
    );
    if let Some((at, share)) = p.series.worst() {
        let _ = write!(s, "; worst {WORST_S} s: {:.1}%, from second {at}", 100.0 * share);
    }
    s.push_str("</p>");
    s.push_str(&chart(p).unwrap_or_else(|| "<p>no chart</p>".into()));
    s.push_str("<table><tr><th>model route</th><th>wanted</th><th>served</th><th>completed</th><th>shed</th><th>errored</th><th>first token p50</th><th>p99</th></tr>");
    for (name, r) in p.routes {
        let ms = |q| r.ttft_quantile(q).map_or("-".into(), |x: f64| format!("{:.0} ms", 1e3 * x));
        let served = 100.0 * r.distinct_in_target as f64 / r.distinct_requests.max(1) as f64;
        let _ = write!(s, "<tr><td>{}</td><td>{}</td><td>{served:.1}%</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>", escaped(name), r.distinct_requests, r.completed, r.rejected, r.failed, ms(0.5), ms(0.99));
    }
    s.push_str("</table><ul>");
    for r in Rule::ALL {
        let n = p.verdict.count(r);
        let judged = p.verdict.checked.get(r.name()).copied().unwrap_or(0);
        let word = if n == 0 { "kept".to_string() } else { format!("<b>broken {n} times</b>") };
        let _ = write!(s, "<li>{}: {word} ({judged} judged): {}</li>", r.name(), r.description());
    }
    for b in p.verdict.violations.iter().take(20) {
        let _ = write!(s, "<li><b>{}</b>: {}</li>", b.rule.name(), escaped(&b.description));
    }
    for n in p.notes {
        let _ = write!(s, "<li>{}</li>", escaped(n));
    }
    s.push_str("</ul>");
    s
}

/// The page of one or more days.
pub fn page(title: &str, days: &[Played]) -> String {
    let parts: String = days.iter().map(part).collect();
    format!(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>{0}</title><style>body{{font-family:sans-serif;\
         max-width:960px;margin:2em auto;color:#222}}table{{border-collapse:collapse}}td,th{{padding:2px 10px;text-align:right;\
         border-bottom:1px solid #ddd}}td:first-child,th:first-child{{text-align:left}}</style></head><body><h1>{0}</h1>\
         <p>Played on loopback with stand-in engines; what crossed the sockets was judged.</p>{parts}</body></html>\n",
        escaped(title)
    )
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_page_holds_chart_table_and_rules_and_no_foreign_markup() {
        let spans = |n: u32| {
            (0..30)
                .map(|k| Span { wanted: 10, served: if k == 12 { n } else { 10 }, ..Span::default() })
                .collect()
        };
        let series =
            Series { routes: [("chat".into(), spans(2)), ("a<b".into(), spans(5))].into(), seconds: 30 };
        let troubles = [Trouble { name: "crash readers".into(), from_s: 12.0, to_s: 15.0 }];
        let routes = BTreeMap::from([(
            "a<b".to_string(),
            RouteStats { distinct_requests: 300, distinct_in_target: 295, ..RouteStats::default() },
        )]);
        let (verdict, notes) = (AuditReport::default(), ["<script>".to_string()]);
        let p = Played {
            name: "a day",
            seed: 3,
            series: &series,
            troubles: &troubles,
            routes: &routes,
            verdict: &verdict,
            notes: &notes,
        };
        let html = page("days", &[p]);
        for wanted in ["<svg", "crash readers", "a&lt;b", "98.3%", "pinned: kept", "&lt;script&gt;"] {
            assert!(html.contains(wanted), "{wanted}");
        }
        assert!(!html.contains("<script>"));
    }
}
