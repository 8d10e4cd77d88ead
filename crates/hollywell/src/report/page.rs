//! The report as text, or as an HTML page with a plot of each objective's burn rate.

use std::fmt::Write as _;

use plotters::{
    chart::ChartBuilder,
    drawing::IntoDrawingArea as _,
    prelude::SVGBackend,
    series::LineSeries,
    style::{BLUE, RED, WHITE},
};

use super::{OBJECTIVES, WINDOWS, burn_rate_series, burn_rates, scrape::Scrape};

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (720, 220);

/// Formats the report as a text table.
#[must_use]
pub fn text(scrapes: &[Scrape]) -> String {
    let mut out = String::new();
    // Writing to a string cannot fail.
    let _infallible = writeln!(
        out,
        "{:<20} {:>8} {:>8} {:>9} {:>9} {:>10} {:>10}  alarm",
        "objective", "long", "short", "bad", "all", "long burn", "short burn"
    );
    for burn in burn_rates(scrapes) {
        let _infallible = writeln!(
            out,
            "{:<20} {:>7}m {:>7}m {:>9.0} {:>9.0} {:>10.2} {:>10.2}  {}",
            burn.objective,
            burn.windows.long_s / 60,
            burn.windows.short_s / 60,
            burn.long.bad,
            burn.long.all,
            burn.long_burn,
            burn.short_burn,
            if burn.alarms { "ALARM" } else { "-" }
        );
    }
    out
}

/// Formats the report as a self-contained HTML page.
///
/// # Errors
///
/// If a plot cannot be drawn.
pub fn html(scrapes: &[Scrape]) -> Result<String, Box<dyn std::error::Error>> {
    let mut page = String::from(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>hollywell: service-level burn</title>\
         <style>body{font:15px sans-serif;margin:2em;max-width:50em}\
         table{border-collapse:collapse}td,th{padding:.3em .8em;text-align:right;\
         border-bottom:1px solid #ccc}td:first-child,th:first-child{text-align:left}\
         .alarm{color:#b00;font-weight:bold}</style></head><body>\
         <h1>Service-level burn</h1>\
         <p>A burn of 1 uses the budget up in exactly its thirty days.</p>\
         <table><tr><th>objective</th><th>windows</th><th>bad</th><th>all</th>\
         <th>long burn</th><th>short burn</th><th>alarm at</th></tr>",
    );
    for burn in burn_rates(scrapes) {
        let class = if burn.alarms { " class=\"alarm\"" } else { "" };
        write!(
            page,
            "<tr{class}><td>{}</td><td>{} / {} min</td><td>{:.0}</td><td>{:.0}</td>\
             <td>{:.2}</td><td>{:.2}</td><td>{:.1}</td></tr>",
            burn.objective,
            burn.windows.long_s / 60,
            burn.windows.short_s / 60,
            burn.long.bad,
            burn.long.all,
            burn.long_burn,
            burn.short_burn,
            burn.windows.alarm
        )?;
    }
    page.push_str("</table>");
    for objective in &OBJECTIVES {
        write!(
            page,
            "<h2>{}</h2><p>Bad is {}. At least {:.1}% must be good. Blue: burn over {} min; \
             red: the alarm.</p>",
            objective.name,
            objective.bad,
            objective.target * 100.0,
            WINDOWS[0].short_s / 60
        )?;
        page.push_str(&plot(&burn_rate_series(scrapes, objective, WINDOWS[0].short_s))?);
    }
    page.push_str("</body></html>\n");
    Ok(page)
}

/// Plots burn rates over time, with the alarm threshold of the first window pair, as
/// an SVG image.
fn plot(series: &[(u64, f64)]) -> Result<String, Box<dyn std::error::Error>> {
    let alarm = WINDOWS[0].alarm;
    let first = series.first().map_or(0, |(at, _)| *at);
    let minutes = |at: u64| at.saturating_sub(first) as f64 / 60.0;
    let x_max = series.last().map_or(1.0, |(at, _)| minutes(*at)).max(1.0);
    let y_max = series.iter().map(|(_, burn)| *burn).fold(alarm, f64::max) * 1.1;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(45)
            .build_cartesian_2d(0.0..x_max, 0.0..y_max)?;
        chart.configure_mesh().x_desc("minutes").y_desc("burn").draw()?;
        let points = series.iter().map(|(at, burn)| (minutes(*at), *burn));
        chart.draw_series(LineSeries::new(points, &BLUE))?;
        chart.draw_series(LineSeries::new([(0.0, alarm), (x_max, alarm)], &RED))?;
        area.present()?;
    }
    Ok(svg)
}
