//! Draws measurements as SVG line charts.

use filberttrail_kernel::{Error, Result};
use plotters::prelude::*;
use std::ops::Range;

/// Size of the chart, in pixels.
const CHART_SIZE: (u32, u32) = (900, 420);
/// Space for the labels of an axis, in pixels.
const LABEL_AREA: u32 = 56;
/// Height of the vertical axis, as a multiple of the highest point.
const HEADROOM: f64 = 1.1;

/// A line of a chart.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// The name in the legend.
    pub name: String,
    /// The points as (x, y).
    pub points: Vec<(f64, f64)>,
}

impl Line {
    /// Creates a line of values at x = 0, 1, 2 and so on.
    pub fn new(name: impl ToString, values: impl IntoIterator<Item = f64>) -> Self {
        let points = values.into_iter().enumerate().map(|(at, value)| (at as f64, value));
        Self { name: name.to_string(), points: points.collect() }
    }
}

/// Draws lines into an SVG file; `x_label` and `y_label` describe the axes. Returns an error if the
/// file cannot be written.
pub fn draw(file: &str, title: &str, x_label: &str, y_label: &str, lines: &[Line]) -> Result<()> {
    let help = "check the path and its permissions";
    draw_lines(file, title, [x_label, y_label], lines)
        .map_err(|error| Error::system(file, error, help).into())
}

type DrawResult = std::result::Result<(), Box<dyn std::error::Error>>;

fn draw_lines(file: &str, title: &str, axes: [&str; 2], lines: &[Line]) -> DrawResult {
    let root = SVGBackend::new(file, CHART_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let (x_range, y_range) = compute_ranges(lines);
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(x_range, y_range)?;
    chart.configure_mesh().x_desc(axes[0]).y_desc(axes[1]).draw()?;
    for (index, line) in lines.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), colour.stroke_width(2)))?
            .label(line.name.as_str())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    root.present()?;
    Ok(())
}

fn compute_ranges(lines: &[Line]) -> (Range<f64>, Range<f64>) {
    let points = || lines.iter().flat_map(|line| line.points.iter());
    let right = points().map(|point| point.0).fold(1.0, f64::max);
    let top = points().map(|point| point.1).fold(f64::MIN_POSITIVE, f64::max);
    (0.0..right, 0.0..top * HEADROOM)
}
