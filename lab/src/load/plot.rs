//! SVG plot of a load report.

use std::path::Path;

use plotters::prelude::*;

use super::Report;

/// Width and height in pixels.
const SIZE: (u32, u32) = (900, 400);

/// Draws the latency of each request over the time it was due, on a logarithmic scale;
/// refused requests are red.
pub fn draw(report: &Report, path: &Path) -> anyhow::Result<()> {
    let max_latency = report.longest_wait.max(10.0);
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(10)
        .set_label_area_size(LabelAreaPosition::Left, 60)
        .set_label_area_size(LabelAreaPosition::Bottom, 30)
        .build_cartesian_2d(0.0..report.load.seconds, (0.1..max_latency).log_scale())?;
    chart.configure_mesh().disable_x_mesh().draw()?;
    let dot = |(due, latency_ms, served): &(f64, f64, bool)| {
        let colour = if *served { BLUE.mix(0.4) } else { RED.mix(0.8) };
        Circle::new((*due, latency_ms.max(0.1)), 1, colour.filled())
    };
    chart.draw_series(report.points.iter().map(dot))?;
    root.present()?;
    Ok(())
}
