//! Draws the time line as SVG: a lane for each process, a dot for each event.

use crate::logs::Line;
use celerythread_model::event::Event;
use plotters::prelude::*;

/// Height of a lane and width of the picture, in pixels.
const LANE_HEIGHT_PX: u32 = 60;
const WIDTH_PX: u32 = 1200;

/// One event in the picture.
#[derive(Clone, Debug)]
pub struct Dot {
    /// Name of the process, which has a lane of its own.
    pub lane: String,
    /// Milliseconds since the Unix epoch.
    pub at: u64,
    /// Text next to the dot.
    pub label: String,
}

impl From<&Event> for Dot {
    fn from(event: &Event) -> Self {
        // Only the event's kind; the table has the details.
        let label = event.to_string().split(' ').next().unwrap_or_default().to_owned();
        Self { lane: event.process.to_string(), at: event.at, label }
    }
}

impl From<&Line> for Dot {
    fn from(line: &Line) -> Self {
        let at = line.at_ms.max(0) as u64;
        Self { lane: line.source.clone(), at, label: line.event.clone() }
    }
}

/// Draws dots as SVG.
///
/// # Errors
/// The plotting library's message when drawing fails.
pub fn svg(dots: &[Dot]) -> Result<String, String> {
    let mut lanes: Vec<String> = dots.iter().map(|dot| dot.lane.clone()).collect();
    lanes.sort();
    lanes.dedup();
    let mut text = String::new();
    {
        let height = LANE_HEIGHT_PX * (lanes.len() as u32 + 2);
        let area = SVGBackend::with_string(&mut text, (WIDTH_PX, height)).into_drawing_area();
        draw(&area, dots, &lanes).map_err(|error| error.to_string())?;
        area.present().map_err(|error| error.to_string())?;
    }
    Ok(text)
}

fn draw(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    dots: &[Dot],
    lanes: &[String],
) -> Result<(), Box<dyn std::error::Error>> {
    area.fill(&WHITE)?;
    let first = dots.iter().map(|dot| dot.at).min().unwrap_or(0);
    let last = dots.iter().map(|dot| dot.at).max().unwrap_or(0).max(first + 1);
    let seconds = (last - first) as f64 / 1000.0;
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(160)
        .build_cartesian_2d(0.0..seconds, 0.0..lanes.len() as f64)?;
    let name = |lane: &f64| lanes.get(*lane as usize).cloned().unwrap_or_default();
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_labels(lanes.len())
        .y_label_formatter(&name)
        .draw()?;
    let shapes = dots.iter().map(|dot| {
        let lane = lanes.iter().position(|lane| *lane == dot.lane).unwrap_or(0);
        let at = ((dot.at - first) as f64 / 1000.0, lane as f64 + 0.5);
        EmptyElement::at(at)
            + Circle::new((0, 0), 3, BLUE.filled())
            + Text::new(dot.label.clone(), (4, -12), ("sans-serif", 9))
    });
    chart.draw_series(shapes)?;
    Ok(())
}
