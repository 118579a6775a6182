use super::*;

/// A non-idempotent request is retried only if its last byte was not written, so the last byte must
/// be detected reliably.
#[test]
fn the_last_byte_of_a_request_is_detected_wherever_writes_split_it() {
    let head = b"POST /x HTTP/1.1\r\nhost: a\r\n\r\r\n\r\n".as_slice();
    for body in [b"".as_slice(), b"\r\n\r\n12345"] {
        let all = [head, body].concat();
        for split in 0..=all.len() {
            let progress = WireProgress::default();
            progress.begin_request(body.len());
            assert!(progress.nothing_written());
            progress.on_written(&all[..split]);
            assert_eq!(progress.nothing_written(), split == 0);
            assert_eq!(
                progress.request_complete(),
                split == all.len(),
                "split at {split}"
            );
            progress.on_written(&all[split..]);
            assert!(progress.request_complete());
        }
    }
}
