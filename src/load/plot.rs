use std::io;
use std::path::Path;

use plotters::prelude::*;

use super::report::{Point, Second};

/// Width and height of a plot in pixels.
const SIZE: (u32, u32) = (900, 500);

/// Range of the prompt length axis, in tokens.
const LENGTH_RANGE: std::ops::Range<f64> = 900.0..1_100_000.0;

/// Number of prompt length buckets for which quantiles are drawn.
const BUCKETS: usize = 12;

/// Selects one of the counts of a second.
type Count = fn(&Second) -> usize;

/// Plots the time to first token by prompt length: 50th and 95th percentile of each named series.
///
/// # Errors
/// Fails if the file cannot be written.
pub fn plot_first_tokens(file: &Path, series: &[(&str, &[Point])]) -> io::Result<()> {
    draw_first_tokens(file, series).map_err(|error| io::Error::other(error.to_string()))
}

/// Plots arrivals, correct answers in time, refusals and committed sales per second.
///
/// # Errors
/// Fails if the file cannot be written.
pub fn plot_service(file: &Path, seconds: &[Second]) -> io::Result<()> {
    draw_service(file, seconds).map_err(|error| io::Error::other(error.to_string()))
}

fn draw_first_tokens(
    file: &Path,
    series: &[(&str, &[Point])],
) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(15)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .caption("Time to first token by prompt length", ("sans-serif", 20))
        .build_cartesian_2d(LENGTH_RANGE.log_scale(), (10.0..200_000.0f64).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("prompt (tokens)")
        .y_desc("time to first token (ms)")
        .draw()?;
    for (index, (name, points)) in series.iter().enumerate() {
        for (quantile, width) in [(0.5, 1), (0.95, 3)] {
            let color = Palette99::pick(index).stroke_width(width);
            chart
                .draw_series(LineSeries::new(quantiles(points, quantile), color))?
                .label(format!("{name} p{:.0}", quantile * 100.0))
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], color));
        }
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE)
        .draw()?;
    area.present()?;
    Ok(())
}

fn draw_service(file: &Path, seconds: &[Second]) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let peak = seconds.iter().map(|second| second.arrivals).max();
    let top = peak.unwrap_or(0) as f64 * 1.2 + 1.0;
    let mut chart = ChartBuilder::on(&area)
        .margin(15)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .caption("Service per second of arrival", ("sans-serif", 20))
        .build_cartesian_2d(0.0..seconds.len() as f64, 0.0..top)?;
    chart
        .configure_mesh()
        .x_desc("time (s)")
        .y_desc("requests")
        .draw()?;
    let lines: [(&str, Count); 4] = [
        ("arrivals", |second| second.arrivals),
        ("answered in time", |second| second.ok),
        ("refused, not run", |second| second.refused),
        ("committed sales", |second| second.committed),
    ];
    for (index, (name, count)) in lines.into_iter().enumerate() {
        let color = Palette99::pick(index).stroke_width(2);
        let points = seconds
            .iter()
            .enumerate()
            .map(move |(at, second)| (at as f64, count(second) as f64));
        chart
            .draw_series(LineSeries::new(points, color))?
            .label(name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE)
        .draw()?;
    area.present()?;
    Ok(())
}

/// The center of each prompt length bucket that has points, and the quantile of the time to first token in it.
fn quantiles(points: &[Point], quantile: f64) -> Vec<(f64, f64)> {
    let (low, high) = (1_000f64.ln(), 1_000_001f64.ln());
    let step = (high - low) / BUCKETS as f64;
    let bucket = |point: &Point| ((point.tokens as f64).ln() - low) / step;
    (0..BUCKETS)
        .filter_map(|index| {
            let in_bucket = points
                .iter()
                .filter(|point| bucket(point).max(0.0) as usize == index);
            let mut times: Vec<f64> = in_bucket.map(|point| point.first_token).collect();
            times.sort_by(f64::total_cmp);
            let at = ((times.len() as f64 * quantile).ceil() as usize).saturating_sub(1);
            let center = (low + step * (index as f64 + 0.5)).exp();
            times.get(at).map(|time| (center, time.max(10.0)))
        })
        .collect()
}
