//! The time line as a picture: a lane for each process, a dot for each event.

use celerythread_model::event::Event;
use plotters::prelude::*;

/// Pixels of each lane's height, and of the picture's width.
const LANE: u32 = 60;
const WIDTH: u32 = 1200;

/// Draws events, already in order, as SVG.
///
/// # Errors
/// The plotting library's words when it cannot draw.
pub fn svg(events: &[Event]) -> Result<String, String> {
    let mut lanes: Vec<String> = events.iter().map(|event| event.process.to_string()).collect();
    lanes.sort();
    lanes.dedup();
    let mut text = String::new();
    {
        let height = LANE * (lanes.len() as u32 + 2);
        let area = SVGBackend::with_string(&mut text, (WIDTH, height)).into_drawing_area();
        draw(&area, events, &lanes).map_err(|error| error.to_string())?;
        area.present().map_err(|error| error.to_string())?;
    }
    Ok(text)
}

fn draw(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    events: &[Event],
    lanes: &[String],
) -> Result<(), Box<dyn std::error::Error>> {
    area.fill(&WHITE)?;
    let first = events.iter().map(|event| event.at).min().unwrap_or(0);
    let last = events.iter().map(|event| event.at).max().unwrap_or(0).max(first + 1);
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
    let dots = events.iter().map(|event| {
        let lane = lanes.iter().position(|l| *l == event.process.as_str()).unwrap_or(0);
        let at = ((event.at - first) as f64 / 1000.0, lane as f64 + 0.5);
        EmptyElement::at(at)
            + Circle::new((0, 0), 3, BLUE.filled())
            + Text::new(label(event), (4, -12), ("sans-serif", 9))
    });
    chart.draw_series(dots)?;
    Ok(())
}

/// The event's kind alone; the details stand in the text form.
fn label(event: &Event) -> String {
    event.to_string().split(' ').next().unwrap_or_default().to_owned()
}
