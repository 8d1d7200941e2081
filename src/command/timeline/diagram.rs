use std::fmt::Display;

use plotters::backend::SVGBackend;
use plotters::element::{Circle, PathElement, Polygon, Text};
use plotters::prelude::IntoDrawingArea;
use plotters::style::text_anchor::{HPos, Pos, VPos};
use plotters::style::{Color, IntoFont, Palette, Palette99, RGBColor, TextStyle, BLACK, WHITE};

use crate::command::Error;
use crate::event::Line;

/// Maximum number of events in one diagram; viewers cannot display larger files.
const MAX_EVENTS: usize = 5_000;

/// Maximum and minimum distance between two events, and the minimum at which their names are written, in pixels.
const MAX_GAP: i32 = 90;
const MIN_GAP: i32 = 12;
const MIN_NAMED_GAP: i32 = 40;

/// Length of an arrow head, width of the margin with the instance names, and height of a row, in pixels.
const ARROW_HEAD: f64 = 8.0;
const MARGIN: i32 = 180;
const ROW_HEIGHT: i32 = 70;

/// Intended maximum width of the diagram in pixels; many events at the minimum distance exceed it.
const MAX_WIDTH: i32 = 16_000;

type Area<'a> = plotters::drawing::DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

/// Draws the lines as an SVG diagram, in the given order.
pub(super) fn draw(lines: &[Line]) -> Result<String, Error> {
    if lines.is_empty() {
        return Err(Error::Failed("no event to draw".into()));
    }
    if lines.len() > MAX_EVENTS {
        return Err(Error::Failed(format!(
            "{} events exceed the limit of {MAX_EVENTS} for `--svg`; use a filter",
            lines.len()
        )));
    }
    let layout = Layout::new(lines);
    let mut text = String::new();
    let area = SVGBackend::with_string(&mut text, layout.size()).into_drawing_area();
    layout.fill(&area, lines).map_err(failed)?;
    area.present().map_err(failed)?;
    drop(area);
    Ok(text)
}

fn failed(error: impl Display) -> Error {
    Error::Failed(format!("cannot draw the diagram: {error}"))
}

type DrawResult = Result<(), plotters::drawing::DrawingAreaErrorKind<std::io::Error>>;

struct Layout {
    count: i32,
    gap: i32,
    /// Domain and instance of each row, sorted.
    rows: Vec<(String, String)>,
    /// The request ids, sorted; the index selects the colour.
    requests: Vec<String>,
}

impl Layout {
    fn new(lines: &[Line]) -> Self {
        let count = lines.len() as i32;
        let mut rows: Vec<_> = lines.iter().map(row).collect();
        rows.sort();
        rows.dedup();
        let mut requests: Vec<_> = lines
            .iter()
            .filter_map(|line| line.field("request"))
            .collect();
        requests.sort_unstable();
        requests.dedup();
        Self {
            count,
            gap: (MAX_WIDTH / count).clamp(MIN_GAP, MAX_GAP),
            rows,
            requests: requests.into_iter().map(String::from).collect(),
        }
    }

    fn colour(&self, line: &Line) -> RGBColor {
        let request = line.field("request");
        let index = request.and_then(|id| self.requests.iter().position(|known| known == id));
        index.map_or(BLACK, |index| {
            let (r, g, b) = Palette99::pick(index).rgb();
            RGBColor(r, g, b)
        })
    }

    fn fill(&self, area: &Area<'_>, lines: &[Line]) -> DrawResult {
        area.fill(&WHITE)?;
        self.draw_rows(area)?;
        for (index, line) in lines.iter().enumerate() {
            let earlier = lines[..index]
                .iter()
                .rposition(|other| same_request(other, line));
            if let Some(earlier) =
                earlier.filter(|&earlier| lines[earlier].instance != line.instance)
            {
                let from = self.position(earlier, &lines[earlier]);
                self.draw_arrow(area, from, self.position(index, line), self.colour(line))?;
            }
        }
        for (index, line) in lines.iter().enumerate() {
            self.draw_event(area, self.position(index, line), line, index)?;
        }
        Ok(())
    }

    fn draw_arrow(
        &self,
        area: &Area<'_>,
        from: (i32, i32),
        to: (i32, i32),
        colour: RGBColor,
    ) -> DrawResult {
        area.draw(&PathElement::new(vec![from, to], colour.stroke_width(1)))?;
        let (dx, dy) = (f64::from(to.0 - from.0), f64::from(to.1 - from.1));
        let length = dx.hypot(dy).max(1.0);
        let (ux, uy) = (dx / length * ARROW_HEAD, dy / length * ARROW_HEAD);
        let corner = |side: f64| {
            let x = f64::from(to.0) - ux - side * uy / 2.0;
            let y = f64::from(to.1) - uy + side * ux / 2.0;
            (x as i32, y as i32)
        };
        area.draw(&Polygon::new(
            vec![to, corner(1.0), corner(-1.0)],
            colour.filled(),
        ))
    }

    fn draw_event(
        &self,
        area: &Area<'_>,
        (x, y): (i32, i32),
        line: &Line,
        index: usize,
    ) -> DrawResult {
        let colour = self.colour(line);
        area.draw(&Circle::new((x, y), 4, colour.filled()))?;
        if self.gap < MIN_NAMED_GAP {
            return Ok(());
        }
        // Neighbouring names are written at different heights, so that long ones do not overlap.
        let offset = if index.is_multiple_of(2) { 12 } else { 26 };
        area.draw(&Text::new(
            line.event.clone(),
            (x, y - offset),
            style(11, HPos::Center),
        ))?;
        area.draw(&Text::new(
            line.time.to_string(),
            (x, y + 14),
            style(9, HPos::Center),
        ))
    }

    fn draw_rows(&self, area: &Area<'_>) -> DrawResult {
        let (width, _) = self.size();
        for (index, (domain, instance)) in self.rows.iter().enumerate() {
            let y = y_of(index);
            let line = vec![(MARGIN, y), (width as i32, y)];
            area.draw(&PathElement::new(line, BLACK.mix(0.25)))?;
            let name = format!("{domain} {instance}");
            area.draw(&Text::new(name, (10, y), style(13, HPos::Left)))?;
        }
        Ok(())
    }

    fn position(&self, index: usize, line: &Line) -> (i32, i32) {
        let row = self.rows.binary_search(&row(line)).unwrap_or_default();
        (MARGIN + self.gap / 2 + index as i32 * self.gap, y_of(row))
    }

    fn size(&self) -> (u32, u32) {
        let width = MARGIN + self.count * self.gap;
        (width as u32, y_of(self.rows.len()) as u32)
    }
}

/// Whether both lines belong to the same request.
fn same_request(earlier: &Line, line: &Line) -> bool {
    let request = line.field("request");
    request.is_some() && earlier.field("request") == request
}

/// Vertical position of a row.
fn y_of(row: usize) -> i32 {
    ROW_HEIGHT * (row as i32 + 1)
}

fn row(line: &Line) -> (String, String) {
    (line.domain.clone(), line.instance.clone())
}

fn style(size: i32, anchor: HPos) -> TextStyle<'static> {
    let font = ("sans-serif", size).into_font();
    TextStyle::from(font).pos(Pos::new(anchor, VPos::Center))
}
