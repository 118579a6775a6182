//! Decodes the load reports that endpoints send.

use cranetack_routing_policy::LoadReport;
use cranetack_settings::LoadReportSettings;
use http::HeaderMap;

/// The header that carries a load report.
const LOAD_HEADER: &str = "x-load";

/// Decodes the load report in the headers of a response; `None` if there is none.
pub(crate) fn from_headers(
    headers: &HeaderMap,
    columns: &LoadReportSettings,
) -> Option<LoadReport> {
    let text = headers.get(LOAD_HEADER)?.to_str().ok()?;
    parse(text, columns)
}

/// Decodes a load report of the form `TEXT name=value, name=value`. Returns `None` if no value can
/// be decoded: an empty report would replace the endpoint's previous one.
pub(crate) fn parse(text: &str, columns: &LoadReportSettings) -> Option<LoadReport> {
    let mut load = LoadReport::default();
    let text = text.trim();
    let text = text.strip_prefix("TEXT").unwrap_or(text);
    for pair in text.split([',', ' ', '\n']) {
        if let Some((name, value)) = pair.trim().split_once('=') {
            set_value(&mut load, name.trim(), parse_value(value), columns);
        }
    }
    if load == LoadReport::default() {
        None
    } else {
        Some(load)
    }
}

fn parse_value(text: &str) -> Option<f64> {
    let value = text.trim().parse::<f64>().ok()?;
    value.is_finite().then_some(value)
}

fn set_value(load: &mut LoadReport, name: &str, value: Option<f64>, columns: &LoadReportSettings) {
    let is_column = |column: &Option<String>| column.as_deref() == Some(name);
    match name {
        "inflight" => load.in_flight = value,
        "queue" => load.queued = value,
        "util" => load.slot_utilization = value,
        _ if is_column(&columns.memory_column) => load.memory_utilization = value,
        _ if is_column(&columns.pending_column) => load.pending_kilotokens = value,
        _ => {}
    }
}

#[cfg(test)]
mod tests;
