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
fn cached_tokens_and_load_are_found_at_the_end_of_a_stream_however_it_is_split() {
    let text = "data: {\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\":4096}}}\n\ndata: [DONE]\n\n\
                : X-LoadReport: TEXT x0=0.25\n\n";
    let mut tail = StreamTail::default();
    tail.push(&vec![b'x'; 5_000]);
    for chunk in text.as_bytes().chunks(7) {
        tail.push(chunk);
    }
    let report = tail.report(&columns());
    assert_eq!(
        (
            report.cached_tokens,
            report.load.and_then(|load| load.memory_utilization)
        ),
        (4_096, Some(0.25))
    );
}
