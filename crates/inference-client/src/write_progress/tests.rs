//! Tests of detecting the last byte of a request.

use super::*;

#[test]
fn the_last_byte_is_detected_wherever_writes_are_split() {
    let head = b"POST /x HTTP/1.1\r\nhost: a\r\r\n\r\n".as_slice();
    for body in [b"".as_slice(), b"\r\n\r\n123"] {
        let all = [head, body].concat();
        for split in 0..=all.len() {
            let progress = WriteProgress::default();
            progress.begin(body.len());
            progress.record(&all[..split]);
            assert_eq!(progress.is_complete(), split == all.len(), "{split}");
            progress.record(&all[split..]);
            assert!(progress.is_complete());
        }
    }
}
