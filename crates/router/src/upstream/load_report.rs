//! Decodes the load reports of endpoints.

use cranetack_routing_policy::LoadReport;
use cranetack_settings::Report;
use http::HeaderMap;

/// The header that carries a load report.
const LOAD_HEADER: &str = "x-load";

/// The load report among the headers of a response.
pub(crate) fn from_headers(headers: &HeaderMap, columns: &Report) -> Option<LoadReport> {
    let text = headers.get(LOAD_HEADER)?.to_str().ok()?;
    parse(text, columns)
}

/// A load report in the form `TEXT name=figure, name=figure`. One without any figure that can be
/// decoded is none: it would take the place of the one before.
pub(crate) fn parse(text: &str, columns: &Report) -> Option<LoadReport> {
    let mut load = LoadReport::default();
    let text = text.trim();
    let text = text.strip_prefix("TEXT").unwrap_or(text);
    for pair in text.split([',', ' ', '\n']) {
        if let Some((name, figure)) = pair.trim().split_once('=') {
            set_figure(&mut load, name.trim(), parse_figure(figure), columns);
        }
    }
    if load == LoadReport::default() {
        None
    } else {
        Some(load)
    }
}

fn parse_figure(text: &str) -> Option<f64> {
    let figure = text.trim().parse::<f64>().ok()?;
    figure.is_finite().then_some(figure)
}

fn set_figure(load: &mut LoadReport, name: &str, figure: Option<f64>, columns: &Report) {
    let is_column = |column: &Option<String>| column.as_deref() == Some(name);
    match name {
        "inflight" => load.in_flight = figure,
        "queue" => load.queued = figure,
        "util" => load.slot_utilization = figure,
        _ if is_column(&columns.memory_column) => load.memory_utilization = figure,
        _ if is_column(&columns.pending_column) => load.pending_kilotokens = figure,
        _ => {}
    }
}

#[cfg(test)]
mod tests;
