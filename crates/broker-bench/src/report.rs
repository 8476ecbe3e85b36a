//! Writes the results of a run as a self-contained HTML page with figures and SVG plots of load, service, latency
//! and nodes over time. The figures are also written as JSON to a file beside the page.

use crate::run_results::{RunResults, SecondResults, Service};
use plotters::prelude::{
    BLACK, ChartBuilder, Color, DrawingAreaErrorKind, IntoDrawingArea, LineSeries, RGBColor, SVGBackend,
    WHITE,
};
use serde_json::Value;
use std::fmt::Write as _;
use std::io;
use std::path::Path;
use thiserror::Error;

/// An error while writing a report.
#[derive(Debug, Error)]
pub enum ReportError {
    #[error("failed to draw the plot: {0}")]
    Plot(#[from] DrawingAreaErrorKind<io::Error>),
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 240);
/// The upper end of the vertical axis, as a ratio to the highest point.
const PLOT_HEADROOM: f64 = 1.05;
const GRAY: RGBColor = RGBColor(69, 90, 100);
const GREEN: RGBColor = RGBColor(46, 125, 50);
const AMBER: RGBColor = RGBColor(239, 108, 0);
const RED: RGBColor = RGBColor(198, 40, 40);

const STYLE: &str = "body{font:15px/1.5 sans-serif;max-width:920px;margin:2em auto;color:#222}\
    table{border-collapse:collapse;margin:1em 0}td,th{padding:2px 14px 2px 0;text-align:left}\
    td+td{font-variant-numeric:tabular-nums}.bad{color:#c62828;font-weight:bold}\
    code{font-size:12px;word-break:break-all}h2{font-size:16px;margin:1.4em 0 0}svg{width:100%;height:auto}";

/// Writes the page to `path`, and the figures as JSON to the same path with the extension `json`.
///
/// # Errors
///
/// Returns an error if a plot can't be drawn or a file can't be written.
pub fn write(path: &Path, results: &RunResults, figures: &Value, title: &str) -> Result<(), ReportError> {
    std::fs::write(path, page(results, figures, title)?)?;
    std::fs::write(path.with_extension("json"), format!("{figures}\n"))?;
    Ok(())
}

fn page(results: &RunResults, figures: &Value, title: &str) -> Result<String, ReportError> {
    let title = escape(title);
    let mut page = format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title>\
         <style>{STYLE}</style><h1>A simulated day</h1><p>{title}</p>"
    );
    if let Some(at) = results.stopped_at {
        let seconds = at.as_ms() / 1000.0;
        page += &format!(
            "<p class=\"bad\">Partial: stopped at {seconds:.1} s; the figures are of the time until then.</p>"
        );
    }
    page += &table(&figure_rows(results));
    page += &rules_html(results);
    for Plot { name, unit, curves } in plots(results) {
        page += &heading(name, &curves);
        page += &draw(results.seconds.len(), unit, &curves)?;
    }
    page += &format!("<h2>Figures</h2><p><code>{}</code></p></html>\n", escape(&figures.to_string()));
    Ok(page)
}

/// A row of a table: the name of a figure and its value.
struct Row {
    name: String,
    value: String,
}

fn row(name: impl Into<String>, value: impl ToString) -> Row {
    Row { name: name.into(), value: value.to_string() }
}

fn table(rows: &[Row]) -> String {
    let mut table = "<table>".to_owned();
    for Row { name, value } in rows {
        table += &format!("<tr><td>{}</td><td>{}</td></tr>", escape(name), escape(value));
    }
    table + "</table>"
}

fn figure_rows(results: &RunResults) -> Vec<Row> {
    let mut rows = service_rows(results);
    rows.extend([
        row("Worst 10 s", format!("{:.4}", results.worst_window())),
        row("Queries sent", results.queries),
        row("Responded", results.responded),
        row("Rejected", results.rejected),
        row("Failed", results.failed),
        row("Attempts", results.attempts),
    ]);
    for (name, quantile) in [("median", 0.5), ("p99", 0.99), ("maximum", 1.0)] {
        rows.push(row(format!("Latency, {name}"), format!("{:.1} ms", results.latency_ms(quantile))));
    }
    let slowest_rejection_ms = results.slowest_rejection.as_ms();
    rows.push(row(
        "Slowest rejection, from when the query was sent",
        format!("{slowest_rejection_ms:.1} ms"),
    ));
    rows
}

fn service_rows(results: &RunResults) -> Vec<Row> {
    let all = "Service (priority weight responded within the latency objective / priority weight sent)";
    let mut rows = vec![row(all, service_text(&results.service))];
    for (class, service) in results.classes.iter().zip(&results.by_class) {
        let name = format!("… of class {} (priority weight {})", class.name, class.priority_weight);
        rows.push(row(name, service_text(service)));
    }
    if results.by_tenant.len() > 1 {
        for (index, service) in results.by_tenant.iter().enumerate() {
            rows.push(row(format!("… of tenant {index}"), service_text(service)));
        }
    }
    rows
}

fn service_text(service: &Service) -> String {
    service.share_if_any().map_or("no queries".to_owned(), |share| format!("{share:.4}"))
}

/// Returns the HTML of the broken rules and of how close each rule came to its limit.
fn rules_html(results: &RunResults) -> String {
    let mut html = String::new();
    if results.violations.is_empty() {
        html += "<p>No rule was broken, as seen by clients and nodes.</p>";
    }
    for (rule, violations) in &results.violations {
        let (rule, first_s) = (escape(rule), violations.first_at.as_ms() / 1000.0);
        html += &format!(
            "<p class=\"bad\">Rule broken: {rule} ({} times, first at {first_s:.1} s)</p>",
            violations.count
        );
    }
    let closest = results.closest.iter().map(|(rule, closest)| {
        row(*rule, format!("{:.3} at {:.1} s", closest.ratio, closest.at.as_ms() / 1000.0))
    });
    html + "<h2>How close each rule came to its limit (1)</h2>" + &table(&closest.collect::<Vec<Row>>())
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// A line of a plot, with a point for each second that has a value.
struct Curve {
    name: &'static str,
    color: RGBColor,
    points: Vec<(f64, f64)>,
}

/// A plot of the page.
struct Plot {
    name: &'static str,
    unit: &'static str,
    curves: Vec<Curve>,
}

/// A function that returns a figure of one second, or `None` if that second has no value.
type SecondFigure = fn(&SecondResults) -> Option<f64>;

fn plots(results: &RunResults) -> Vec<Plot> {
    let curve = |name, color, figure: SecondFigure| {
        let point = |(at, second): (usize, &SecondResults)| Some((at as f64, figure(second)?));
        Curve { name, color, points: results.seconds.iter().enumerate().filter_map(point).collect() }
    };
    let queries = vec![
        curve("sent", GRAY, |s| Some(f64::from(s.sent))),
        curve("responded", GREEN, |s| Some(f64::from(s.responded))),
        curve("rejected", AMBER, |s| Some(f64::from(s.rejected))),
        curve("failed", RED, |s| Some(f64::from(s.failed))),
    ];
    let service = vec![curve("service", GREEN, |s| s.service.share_if_any())];
    let latency =
        vec![curve("median", GREEN, |s| s.latency_ms(0.5)), curve("p99", AMBER, |s| s.latency_ms(0.99))];
    let attempts = vec![curve("attempts", GRAY, |s| Some(f64::from(s.attempts)))];
    let nodes = vec![
        curve("warm", GREEN, |s| node_count(s, s.nodes.warm)),
        curve("warming up", AMBER, |s| node_count(s, s.nodes.warming_up)),
        curve("draining", GRAY, |s| node_count(s, s.nodes.draining)),
        curve("down", RED, |s| node_count(s, s.nodes.down)),
    ];
    vec![
        Plot { name: "Queries per second", unit: "per second", curves: queries },
        Plot { name: "Service, by the second of sending", unit: "share of priority weight", curves: service },
        Plot { name: "Latency of responses", unit: "ms", curves: latency },
        Plot { name: "Attempts that reached nodes, per second", unit: "per second", curves: attempts },
        Plot { name: "Nodes", unit: "nodes", curves: nodes },
    ]
}

/// Returns `None` for seconds after the end of the plan, when nodes are no longer counted.
fn node_count(second: &SecondResults, count: u32) -> Option<f64> {
    let all = second.nodes.warm + second.nodes.warming_up + second.nodes.draining + second.nodes.down;
    (all > 0).then(|| f64::from(count))
}

/// Returns the HTML heading of a plot. With several curves it includes their legend, which could cover a curve
/// inside the plot.
fn heading(name: &str, curves: &[Curve]) -> String {
    let mut heading = format!("<h2>{}", escape(name));
    for Curve { name, color: RGBColor(r, g, b), .. } in curves.iter().filter(|_| curves.len() > 1) {
        // Writing to a string does not fail.
        let _ = write!(heading, " <small style=\"color:rgb({r},{g},{b})\">\u{25a0} {}</small>", escape(name));
    }
    heading + "</h2>"
}

/// Draws curves over the seconds of the run as SVG. The vertical axis covers at least the range from 0 to 1.
fn draw(seconds: usize, unit: &str, curves: &[Curve]) -> Result<String, DrawingAreaErrorKind<io::Error>> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let highest = curves.iter().flat_map(|curve| &curve.points).map(|(_, y)| *y).fold(1.0, f64::max);
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .x_label_area_size(34)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..seconds.max(1) as f64, 0.0..highest * PLOT_HEADROOM)?;
        chart
            .configure_mesh()
            .light_line_style(WHITE.mix(0.0))
            .bold_line_style(BLACK.mix(0.12))
            .x_desc("seconds of the day")
            .y_desc(unit)
            .y_labels(6)
            .label_style(("sans-serif", 12))
            .draw()?;
        for Curve { color, points, .. } in curves {
            chart.draw_series(LineSeries::new(points.iter().copied(), color.stroke_width(2)))?;
        }
        area.present()?;
    }
    Ok(svg)
}
