//! Benchmark results as a Markdown table and an SVG plot.

use std::fmt::Write;
use std::path::{Path, PathBuf};

use plotters::prelude::*;
use thiserror::Error;

use crate::bench::{BenchReport, PolicyFigures};

/// Width and height of the plot in pixels.
const PLOT_PIXELS: (u32, u32) = (960, 420);

/// Why a report could not be written.
#[derive(Debug, Error)]
pub enum PageError {
    /// A file could not be written.
    #[error("cannot write {}: {source}", path.display())]
    Write {
        /// File or directory that could not be written.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The plot could not be drawn.
    #[error("cannot draw the plot: {reason}")]
    Draw {
        /// Error message of the plotting library.
        reason: String,
    },
}

/// Writes `SCENARIO.md` and `SCENARIO.svg` to `directory`.
///
/// # Errors
///
/// Fails if a file cannot be written or the plot cannot be drawn.
pub fn write(report: &BenchReport, directory: &Path) -> Result<(), PageError> {
    let name = report.scenario.name();
    std::fs::create_dir_all(directory).map_err(|source| PageError::Write {
        path: directory.to_owned(),
        source,
    })?;
    let page = directory.join(format!("{name}.md"));
    std::fs::write(&page, markdown(report))
        .map_err(|source| PageError::Write { path: page, source })?;
    draw(report, &directory.join(format!("{name}.svg"))).map_err(|error| PageError::Draw {
        reason: error.to_string(),
    })
}

/// Formats the results as Markdown.
pub fn markdown(report: &BenchReport) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "# {} at {:.0}% load, seed {}\n\n{:.0} requests a second, {} s measured after {} s of \
         warm-up.\n",
        report.scenario.name(),
        report.load * 100.0,
        report.seed,
        report.rate,
        report.seconds,
        report.warm_up,
    );
    text.push_str(
        "| policy | requests | p50 ms | p95 ms | p99 ms | small p99 | alone p99 | hit rate | \
         best | recomputed | recovery ms | refused | broken |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for (name, figures) in &report.policies {
        text.push_str(&row(name, figures));
    }
    text
}

fn row(name: &str, figures: &PolicyFigures) -> String {
    let alone = figures
        .alone_ttft_ms
        .map_or("–".to_owned(), |alone| format!("{:.0}", alone.p99));
    let recovery = figures
        .recovery_ms
        .map_or("–".to_owned(), |recovery| recovery.to_string());
    let broken = if figures.guarantees_held() {
        "no"
    } else {
        "YES"
    };
    format!(
        "| {name} | {} | {:.0} | {:.0} | {:.0} | {:.0} | {alone} | {:.3} | {:.3} | {} | \
         {recovery} | {} | {broken} |\n",
        figures.requests,
        figures.ttft_ms.p50,
        figures.ttft_ms.p95,
        figures.ttft_ms.p99,
        figures.small_ttft_ms.p99,
        figures.prefix_hit_rate,
        figures.best_hit_rate,
        figures.recomputed_tokens,
        figures.refused,
    )
}

fn draw(report: &BenchReport, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let bars: Vec<(&String, f64)> = report
        .policies
        .iter()
        .map(|(name, figures)| (name, figures.ttft_ms.p99))
        .collect();
    let highest = bars.iter().map(|(_, p99)| *p99).fold(1.0, f64::max) * 1.1;
    let root = SVGBackend::new(path, PLOT_PIXELS).into_drawing_area();
    root.fill(&WHITE)?;
    let caption = format!("{}: p99 of the first token, ms", report.scenario.name());
    let mut chart = ChartBuilder::on(&root)
        .caption(caption, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(260)
        .build_cartesian_2d(0.0..highest, 0.0..bars.len() as f64)?;
    let label = |index: &f64| {
        let bar = bars.get(*index as usize);
        bar.map_or(String::new(), |(name, _)| (*name).clone())
    };
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(bars.len() + 1)
        .y_label_formatter(&label)
        .draw()?;
    chart.draw_series(bars.iter().enumerate().map(|(index, (_, p99))| {
        let bottom = index as f64;
        Rectangle::new([(0.0, bottom + 0.1), (*p99, bottom + 0.7)], BLUE.filled())
    }))?;
    root.present()?;
    Ok(())
}
