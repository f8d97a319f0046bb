//! Plots of runs, as SVG.

use std::path::Path;
use std::time::Duration;

use hdrhistogram::Histogram;
use plotters::prelude::{
    BLUE, ChartBuilder, IntoDrawingArea, IntoFont, LineSeries, PathElement, RED, RGBColor,
    SVGBackend, WHITE,
};

use crate::error::CommandError;
use crate::experiment::measure::{RunRecord, latency_histogram};

/// Size of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (800, 480);
/// Colours of the lines of a plot, in their order.
const LINE_COLOURS: [RGBColor; 4] = [BLUE, RED, RGBColor(0, 140, 70), RGBColor(200, 120, 0)];
/// End of the percentile axis, in nines: 3 is the 99.9th percentile.
const MAX_NINES: f64 = 3.0;
/// Number of points of a latency line per nine.
const POINTS_PER_NINE: u32 = 20;

/// Contents of a plot.
#[derive(Clone, Debug)]
pub struct PlotSpec {
    /// File name without extension.
    pub name: Box<str>,
    /// Title above the plot.
    pub title: Box<str>,
    /// Label of the horizontal axis.
    pub x_label: &'static str,
    /// Label of the vertical axis.
    pub y_label: &'static str,
    /// Lines, which are also listed in the legend.
    pub lines: Vec<PlotLine>,
}

/// A line of a plot.
#[derive(Clone, Debug)]
pub struct PlotLine {
    /// Text in the legend.
    pub label: Box<str>,
    /// Points of the line, from left to right.
    pub points: Vec<PlotPoint>,
}

/// A point of a line, in the units of the axes.
#[derive(Clone, Copy, Debug)]
pub struct PlotPoint {
    /// Position on the horizontal axis.
    pub x: f64,
    /// Position on the vertical axis.
    pub y: f64,
}

impl PlotLine {
    /// Creates a line with the latency percentiles of all searches of some runs. The horizontal
    /// axis counts nines: `n` stands for the quantile `1 - 10^-n`.
    pub fn from_latencies(label: &str, records: &[&RunRecord]) -> Self {
        let mut all: Option<Histogram<u64>> = None;
        for record in records {
            let histogram = latency_histogram(record, record.searches());
            match &mut all {
                Some(all) => all.add(&histogram).expect("histograms have equal bounds"),
                None => all = Some(histogram),
            }
        }
        let steps = MAX_NINES as u32 * POINTS_PER_NINE;
        let points = all.iter().flat_map(|histogram| {
            (0..=steps).map(|step| {
                let nines = f64::from(step) / f64::from(POINTS_PER_NINE);
                let quantile = 1.0 - 10_f64.powf(-nines);
                PlotPoint {
                    x: nines,
                    y: histogram.value_at_quantile(quantile) as f64 / 1_000.0,
                }
            })
        });
        Self {
            label: label.into(),
            points: points.collect(),
        }
    }

    /// Creates a line with the served share of an account's requests by their scheduled time.
    pub fn from_served_share(
        label: String,
        records: &[&RunRecord],
        account: &str,
        step: Duration,
    ) -> Self {
        let of_account = |record: &RunRecord| {
            let calls = record.calls_of(|stream| stream.account.as_ref() == account);
            calls.cloned().collect::<Vec<_>>()
        };
        let calls = records.iter().map(|record| of_account(record));
        let calls: Vec<Vec<_>> = calls.collect();
        let last = calls.iter().flatten().map(|call| call.due).max();
        let mut points = Vec::new();
        let mut from = Duration::ZERO;
        while from < last.unwrap_or_default() {
            let within = from..from + step;
            let shares = records.iter().zip(&calls).map(|(record, calls)| {
                record.served_share(calls.iter().filter(|call| within.contains(&call.due)))
            });
            points.push(PlotPoint {
                x: from.as_secs_f64(),
                y: shares.sum::<f64>() / records.len() as f64,
            });
            from += step;
        }
        Self {
            label: label.into(),
            points,
        }
    }
}

/// Draws a plot into an SVG file.
pub fn draw_plot(path: &Path, plot: &PlotSpec) -> Result<(), CommandError> {
    let drawn = draw(path, plot);
    drawn.map_err(|error| CommandError::failed(format!("draw {}", path.display()), &error))
}

fn draw(path: &Path, plot: &PlotSpec) -> Result<(), Box<dyn std::error::Error>> {
    let points = plot.lines.iter().flat_map(|line| &line.points);
    let max_of =
        |value: fn(&PlotPoint) -> f64| points.clone().map(value).fold(f64::MIN_POSITIVE, f64::max);
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(plot.title.as_ref(), ("sans-serif", 20).into_font())
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(
            0.0..max_of(|point| point.x),
            0.0..max_of(|point| point.y) * 1.05,
        )?;
    chart
        .configure_mesh()
        .x_desc(plot.x_label)
        .y_desc(plot.y_label)
        .draw()?;
    for (line, colour) in plot.lines.iter().zip(LINE_COLOURS.iter().cycle()) {
        let points = line.points.iter().map(|point| (point.x, point.y));
        chart
            .draw_series(LineSeries::new(points, colour))?
            .label(line.label.as_ref())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .draw()?;
    area.present()?;
    Ok(())
}
