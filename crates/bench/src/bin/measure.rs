//! Measures the policies side by side and prints a table and JSON; with a
//! file name it also writes one HTML page with plots.

use std::{env, fs, thread};

use bench::measure::{
    Deployment, MUSCAT, Named, RECIFE,
    figures::{Figures, Row},
    world,
};
use hollywell::core::{pace::Pacing, route::Policy};
use plotters::prelude::*;

/// Seeds, the same for every policy.
const SEEDS: [u64; 8] = [1, 2, 3, 4, 5, 6, 7, 8];

fn policies() -> Vec<Named> {
    vec![
        Named { name: "baseline", policy: Policy::baseline() },
        Named { name: "current", policy: Policy::default() },
        Named { name: "bucket", policy: Policy { pace: Pacing::Bucket, ..Policy::default() } },
        Named { name: "unpaced", policy: Policy { pace: Pacing::Unpaced, ..Policy::default() } },
    ]
}

fn runs(deployment: Deployment, policy: Policy, with_trainers: bool) -> Figures {
    let run = |seed: u64| move || world::run(deployment, policy, seed, with_trainers);
    let each = thread::scope(|scope| {
        let handles: Vec<_> = SEEDS.iter().map(|seed| scope.spawn(run(*seed))).collect();
        let joined = handles.into_iter().map(|handle| handle.join().expect("a run ends"));
        joined.collect::<Vec<Figures>>()
    });
    let mut total = Figures::default();
    for figures in &each {
        total.add(figures);
    }
    total
}

fn print(rows: &[Row]) {
    println!(
        "| deployment | policy | idle | steps | late | step p50 | step p99 | behind | stale | \
         live p50 | live p99 | refused | retries | cache | wasted | served p99 | store refused |"
    );
    println!("|{}", "---|".repeat(17));
    for row in rows {
        println!(
            "| {} | {} | {:.1}% | {} | {} | {} ms | {} ms | {:.2} | {:.1}% | {:.2}x | {:.2}x | \
             {:.2}% | {:.2}% | {:.0}% | {:.1}% | {} ms | {} |",
            row.deployment,
            row.policy,
            row.idle_percent,
            row.steps,
            row.late,
            row.step_p50_ms,
            row.step_p99_ms,
            row.behind,
            row.stale_percent,
            row.live_p50_ratio,
            row.live_p99_ratio,
            row.refused_percent,
            row.retries_percent,
            row.hits_percent,
            row.wasted_percent,
            row.served_p99_ms,
            row.store_refused
        );
    }
}

/// Bars of one figure for every line of the table.
fn bars(
    title: &str,
    rows: &[Row],
    figure: impl Fn(&Row) -> f64,
) -> Result<String, Box<dyn std::error::Error>> {
    let mut svg = String::new();
    let top = rows.iter().map(&figure).fold(0.0, f64::max) * 1.2 + 0.01;
    let count = rows.len();
    {
        let area = SVGBackend::with_string(&mut svg, (560, 240)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(50)
            .build_cartesian_2d(0..count, 0.0..top)?;
        let label = |place: &usize| {
            rows.get(*place)
                .map_or(String::new(), |row| format!("{} {}", row.deployment, row.policy))
        };
        chart.configure_mesh().disable_x_mesh().x_label_formatter(&label).y_desc(title).draw()?;
        chart.draw_series(rows.iter().enumerate().map(|(place, row)| {
            let style = if row.policy == "baseline" { BLACK.mix(0.4) } else { BLUE.mix(0.8) };
            Rectangle::new([(place, 0.0), (place + 1, figure(row))], style.filled())
        }))?;
        area.present()?;
    }
    Ok(svg)
}

fn page(rows: &[Row]) -> Result<String, Box<dyn std::error::Error>> {
    let mut html = String::from(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>hollywell: policies\
         </title><body style=\"font:15px sans-serif;margin:2em\"><h1>Policies side by side</h1>",
    );
    html += &bars("trainer idle, %", rows, |row| row.idle_percent)?;
    html += &bars("step p99, ms", rows, |row| row.step_p99_ms as f64)?;
    html += &bars("live p99, ratio", rows, |row| row.live_p99_ratio)?;
    html += &bars("wasted, %", rows, |row| row.wasted_percent)?;
    html += "</body></html>\n";
    Ok(html)
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut rows = vec![];
    for deployment in [MUSCAT, RECIFE] {
        let unloaded = runs(deployment, Policy::default(), false);
        for named in policies() {
            let figures = runs(deployment, named.policy, true);
            rows.push(figures.row(deployment.name, named.name, &unloaded));
        }
    }
    print(&rows);
    println!("{}", serde_json::to_string(&rows)?);
    if let Some(file) = env::args().nth(1) {
        fs::write(file, page(&rows)?)?;
    }
    Ok(())
}
