use super::*;
use crate::core::series::ServiceCounts;

#[test]
fn page_has_chart_table_and_rules_and_escapes_markup() {
    let seconds = |served_at_12: u32| {
        (0..30)
            .map(|second| ServiceCounts {
                wanted: 10,
                served: if second == 12 { served_at_12 } else { 10 },
                ..ServiceCounts::default()
            })
            .collect()
    };
    let series =
        Series { routes: [("chat".into(), seconds(2)), ("a<b".into(), seconds(5))].into(), seconds: 30 };
    let troubles = [Trouble { name: "crash readers".into(), from_s: 12.0, to_s: 15.0 }];
    let routes = BTreeMap::from([(
        "a<b".to_string(),
        RouteStats { distinct_requests: 300, distinct_in_target: 295, ..RouteStats::default() },
    )]);
    let (verdict, notes) = (AuditReport::default(), ["<script>".to_string()]);
    let report = DayReport {
        name: "a day",
        seed: 3,
        series: &series,
        troubles: &troubles,
        routes: &routes,
        verdict: &verdict,
        notes: &notes,
    };
    let html = render_page("days", &[report]);
    for wanted in ["<svg", "crash readers", "a&lt;b", "98.3%", "pinned: kept", "&lt;script&gt;"] {
        assert!(html.contains(wanted), "the page does not contain {wanted}");
    }
    assert!(!html.contains("<script>"));
}
