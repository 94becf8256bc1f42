//! Chart of a day: share of requests served in target over time, one line for each model route, with troubles
//! as shaded bands.

use super::DayReport;
use crate::core::series::ServiceCounts;
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;

/// Width and height of the chart in pixels.
const SIZE: (u32, u32) = (920, 340);
const ROUTE_COLOURS: [RGBColor; 5] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 96, 40),
    RGBColor(44, 140, 60),
    RGBColor(130, 90, 180),
    RGBColor(120, 120, 40),
];
const TROUBLE_COLOUR: RGBColor = RGBColor(200, 60, 60);
const LABEL_COLOUR: RGBColor = RGBColor(150, 40, 40);
/// Number of lines over which the labels of troubles are spread, so that neighbouring labels do not overlap.
const LABEL_LINES: usize = 6;
/// Shortest width of a trouble in the chart; shorter troubles are drawn with this width.
const MIN_BAND_S: f64 = 0.3;
/// Number of seconds over which a point of the chart is averaged. With fewer, the lines are mostly noise at
/// the rates of requests that one machine can run.
const SMOOTHING_S: usize = 3;

type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// Renders the chart as SVG. `None` if the plotting library cannot draw it.
pub fn chart(report: &DayReport) -> Option<String> {
    let mut svg = String::new();
    draw(report, &mut svg)?;
    Some(svg)
}

fn draw(report: &DayReport, svg: &mut String) -> Option<()> {
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    area.fill(&WHITE).ok()?;
    let length_s = report.series.seconds as f64;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(34)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..length_s, 0.0..105.0f64)
        .ok()?;
    let mut mesh = chart.configure_mesh();
    mesh.x_desc("seconds").y_desc("served in target, %").light_line_style(WHITE).draw().ok()?;
    draw_troubles(&mut chart, report, length_s)?;
    draw_routes(&mut chart, report)?;
    let mut legend = chart.configure_series_labels();
    legend.background_style(WHITE.mix(0.8)).border_style(BLACK.mix(0.3)).draw().ok()?;
    area.present().ok()
}

fn draw_troubles(chart: &mut Chart, report: &DayReport, length_s: f64) -> Option<()> {
    for (n, trouble) in report.troubles.iter().enumerate() {
        let to_s = trouble.to_s.min(length_s).max(trouble.from_s + MIN_BAND_S);
        let corners = [(trouble.from_s, 0.0), (to_s, 100.0)];
        chart.draw_series([Rectangle::new(corners, TROUBLE_COLOUR.mix(0.10).filled())]).ok()?;
        let position = (trouble.from_s, 4.0 + 6.0 * (n % LABEL_LINES) as f64);
        let style = ("sans-serif", 11).into_font().color(&LABEL_COLOUR);
        chart.draw_series([Text::new(trouble.name.clone(), position, style)]).ok()?;
    }
    Some(())
}

fn draw_routes(chart: &mut Chart, report: &DayReport) -> Option<()> {
    for ((name, seconds), colour) in report.series.routes.iter().zip(ROUTE_COLOURS.iter().cycle()) {
        let points = (0..seconds.len()).filter_map(|second| smoothed_percent(seconds, second));
        let line = chart.draw_series(LineSeries::new(points, colour.stroke_width(2))).ok()?;
        let colour = *colour;
        line.label(name.clone()).legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    Some(())
}

fn smoothed_percent(seconds: &[ServiceCounts], second: usize) -> Option<(f64, f64)> {
    let mut total = ServiceCounts::default();
    for counts in &seconds[second..seconds.len().min(second + SMOOTHING_S)] {
        total.add(counts);
    }
    Some((second as f64, 100.0 * total.served_fraction()?))
}
