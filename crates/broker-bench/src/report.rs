//! A day as a page: figures, and plots of load, service, latency and hosts over time. One HTML file that
//! needs nothing else, the plots in it as SVG; the figures beside it as JSON.

use crate::results::{DayResults, SecondResults, Service};
use plotters::prelude::*;
use serde_json::Value;
use std::fmt::Write as _;
use std::io;
use std::path::Path;

const SIZE: (u32, u32) = (900, 240);
const BLUE_GREY: RGBColor = RGBColor(69, 90, 100);
const GREEN_ISH: RGBColor = RGBColor(46, 125, 50);
const AMBER: RGBColor = RGBColor(239, 108, 0);
const RED_ISH: RGBColor = RGBColor(198, 40, 40);

/// One line of a plot: what it is called, its colour, a point for each second.
struct Curve {
    name: &'static str,
    colour: RGBColor,
    points: Vec<(f64, f64)>,
}

type Reading = fn(&SecondResults) -> Option<f64>;

fn curve(results: &DayResults, name: &'static str, colour: RGBColor, reading: Reading) -> Curve {
    let point = |(at, second): (usize, &SecondResults)| Some((at as f64, reading(second)?));
    Curve { name, colour, points: results.seconds.iter().enumerate().filter_map(point).collect() }
}

/// Draws curves over the day's seconds, from 0 to `most` at the least.
fn plot(seconds: usize, unit: &str, most: f64, curves: &[Curve]) -> Result<String, String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|e| e.to_string())?;
        let top = curves.iter().flat_map(|c| &c.points).map(|(_, y)| *y).fold(most, f64::max) * 1.05;
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .x_label_area_size(34)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..seconds.max(1) as f64, 0.0..top)
            .map_err(|e| e.to_string())?;
        chart
            .configure_mesh()
            .light_line_style(WHITE.mix(0.0))
            .bold_line_style(BLACK.mix(0.12))
            .x_desc("seconds of the day")
            .y_desc(unit)
            .y_labels(6)
            .label_style(("sans-serif", 12))
            .draw()
            .map_err(|e| e.to_string())?;
        for Curve { colour, points, .. } in curves {
            let line = LineSeries::new(points.iter().copied(), colour.stroke_width(2));
            chart.draw_series(line).map_err(|e| e.to_string())?;
        }
        area.present().map_err(|e| e.to_string())?;
    }
    Ok(svg)
}

/// What a plot is called, and its lines' colours: beside it, where it covers none of them.
fn heading(name: &str, curves: &[Curve]) -> String {
    let mut heading = format!("<h2>{}", escape(name));
    for Curve { name, colour: RGBColor(r, g, b), .. } in curves.iter().filter(|_| curves.len() > 1) {
        let _ = write!(heading, " <small style=\"color:rgb({r},{g},{b})\">\u{25a0} {}</small>", escape(name));
    }
    heading + "</h2>"
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

fn plots(results: &DayResults) -> Result<Vec<(String, String)>, String> {
    let seconds = results.seconds.len();
    let line = |name, colour, reading: Reading| curve(results, name, colour, reading);
    let load = [
        line("asked", BLUE_GREY, |s| Some(f64::from(s.asked))),
        line("answered", GREEN_ISH, |s| Some(f64::from(s.responded))),
        line("declined", AMBER, |s| Some(f64::from(s.rejected))),
        line("scrapped", RED_ISH, |s| Some(f64::from(s.failed))),
    ];
    let service = [line("service", GREEN_ISH, |s| (s.service.asked > 0.0).then(|| s.service.share()))];
    let latency =
        [line("median", GREEN_ISH, |s| s.latency_ms(0.5)), line("p99", AMBER, |s| s.latency_ms(0.99))];
    let attempts = [line("pushes", BLUE_GREY, |s| Some(f64::from(s.attempts)))];
    let hosts = [
        line("warm", GREEN_ISH, |s| standing(s, s.nodes.warm)),
        line("cold", AMBER, |s| standing(s, s.nodes.warming_up)),
        line("draining", BLUE_GREY, |s| standing(s, s.nodes.draining)),
        line("gone", RED_ISH, |s| standing(s, s.nodes.down)),
    ];
    let all: [(&str, &str, &[Curve]); 5] = [
        ("Retrievals a second", "a second", &load),
        ("Service, by the second in which it was asked", "share of payoff", &service),
        ("Latency of answers", "ms", &latency),
        ("Pushes that reached hosts, a second", "a second", &attempts),
        ("Hosts", "hosts", &hosts),
    ];
    all.into_iter()
        .map(|(name, unit, curves)| Ok((heading(name, curves), plot(seconds, unit, 1.0, curves)?)))
        .collect()
}

/// Nothing is noted of hosts behind the plan's end.
fn standing(second: &SecondResults, count: u32) -> Option<f64> {
    let all = second.nodes.warm + second.nodes.warming_up + second.nodes.draining + second.nodes.down;
    (all > 0).then(|| f64::from(count))
}

fn share(service: &Service) -> String {
    service.share_if_asked().map_or("nothing asked".to_owned(), |share| format!("{share:.4}"))
}

fn page(results: &DayResults, told: &Value, title: &str) -> Result<String, String> {
    let mut page = format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{0}</title><style>\
         body{{font:15px/1.5 sans-serif;max-width:920px;margin:2em auto;color:#222}}\
         table{{border-collapse:collapse;margin:1em 0}}td,th{{padding:2px 14px 2px 0;text-align:left}}\
         td+td{{font-variant-numeric:tabular-nums}}.bad{{color:#c62828;font-weight:bold}}\
         code{{font-size:12px;word-break:break-all}}h2{{font-size:16px;margin:1.4em 0 0}}svg{{width:100%;height:auto}}\
         </style><h1>A day rehearsed</h1><p>{0}</p>",
        escape(title)
    );
    // Writing to a string can't fail.
    let mut put = |text: std::fmt::Arguments| _ = page.write_fmt(text);
    if let Some(at) = results.stopped_at {
        put(format_args!(
            "<p class=\"bad\">Partial: broken off at {:.1} s; all figures are of what was played.</p>",
            at.as_ms() / 1000.0
        ));
    }
    put(format_args!("<table>"));
    let row = |put: &mut dyn FnMut(std::fmt::Arguments), name: &str, value: String| {
        put(format_args!("<tr><td>{}</td><td>{}</td></tr>", escape(name), escape(&value)));
    };
    let all = "Service (payoff answered within the goal time over payoff asked for)";
    row(&mut put, all, share(&results.service));
    for (worth, service) in results.classes.iter().zip(&results.by_class) {
        let name = format!("… of category {} (payoff {})", worth.name, worth.priority_weight);
        row(&mut put, &name, share(service));
    }
    if results.by_tenant.len() > 1 {
        for (no, service) in results.by_tenant.iter().enumerate() {
            row(&mut put, &format!("… of caller {no}"), share(service));
        }
    }
    row(&mut put, "Worst 10 s", format!("{:.4}", results.worst_window()));
    let ends = [
        ("Retrievals asked", results.queries),
        ("Answered", results.responded),
        ("Declined", results.rejected),
        ("Scrapped", results.failed),
        ("Pushes", results.attempts),
    ];
    for (name, count) in ends {
        row(&mut put, name, count.to_string());
    }
    for (name, quantile) in [("Latency, median", 0.5), ("Latency, p99", 0.99), ("Latency, most", 1.0)] {
        row(&mut put, name, format!("{:.1} ms", results.latency_ms(quantile)));
    }
    row(
        &mut put,
        "Slowest decline, from when it was asked",
        format!("{:.1} ms", results.slowest_rejection.as_ms()),
    );
    put(format_args!("</table>"));
    if results.violations.is_empty() {
        put(format_args!("<p>No rule was broken, by what clients and hosts got.</p>"));
    }
    for (rule, told) in &results.violations {
        let (rule, at) = (escape(rule), told.first_at.as_ms() / 1000.0);
        put(format_args!(
            "<p class=\"bad\">Rule broken: {rule} ({} times, first at {at:.1} s)</p>",
            told.count
        ));
    }
    put(format_args!("<table><tr><th>How near each rule came (1 is its limit)</th><th></th></tr>"));
    for (rule, near) in &results.closest {
        row(&mut put, rule, format!("{:.3} at {:.1} s", near.ratio, near.at.as_ms() / 1000.0));
    }
    put(format_args!("</table>"));
    for (heading, svg) in plots(results)? {
        put(format_args!("{heading}{svg}"));
    }
    put(format_args!("<h2>Figures</h2><p><code>{}</code></p></html>\n", escape(&told.to_string())));
    Ok(page)
}

/// Writes the page, and the figures beside it.
pub fn write(path: &Path, results: &DayResults, told: &Value, title: &str) -> io::Result<()> {
    let page = page(results, told, title).map_err(io::Error::other)?;
    std::fs::write(path, page)?;
    std::fs::write(path.with_extension("json"), format!("{told}\n"))
}
