//! Tests of `link`.

use super::*;

#[test]
fn the_last_byte_is_found_wherever_writes_are_split() {
    let head = b"POST /x HTTP/1.1\r\nhost: a\r\r\n\r\n".as_slice();
    for body in [b"".as_slice(), b"\r\n\r\n123"] {
        let all = [head, body].concat();
        for split in 0..=all.len() {
            let meter = Meter::default();
            meter.begin(body.len());
            meter.count(&all[..split]);
            assert_eq!(meter.all_out(), split == all.len(), "{split}");
            meter.count(&all[split..]);
            assert!(meter.all_out());
        }
    }
}
