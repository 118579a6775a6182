use super::*;

fn columns() -> LoadReportSettings {
    let (memory, pending) = (Some("x0".to_owned()), Some("x1".to_owned()));
    LoadReportSettings {
        memory_column: memory,
        pending_column: pending,
        ..LoadReportSettings::default()
    }
}

#[test]
fn values_are_decoded_by_their_configured_names_and_invalid_ones_are_ignored() {
    let report = parse(
        "TEXT inflight=7, queue=2, util=0.61, x0=0.4, x1=12.5, new=3",
        &columns(),
    );
    let complete = LoadReport {
        in_flight: Some(7.0),
        queued: Some(2.0),
        slot_utilization: Some(0.61),
        memory_utilization: Some(0.4),
        pending_kilotokens: Some(12.5),
    };
    assert_eq!(report, Some(complete));
    assert_eq!(parse("x0=NaN,x1=,=5, util", &columns()), None);
}
