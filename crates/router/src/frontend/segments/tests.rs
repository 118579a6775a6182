//! Tests of the byte queue.

use super::*;

fn take(segments: &mut Segments, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    let mut buf = ReadBuf::new(&mut bytes);
    segments.move_into(&mut buf).to_vec()
}

#[test]
fn bytes_leave_the_queue_in_the_order_in_which_they_came() {
    let mut segments = Segments::default();
    for part in ["abc", "", "defg"] {
        segments.push(part.as_bytes());
    }
    assert_eq!(segments.len(), 7);
    assert_eq!(take(&mut segments, 2), b"ab");
    assert_eq!(take(&mut segments, 10), b"cdefg");
    assert!(segments.is_empty() && take(&mut segments, 10).is_empty());
}

#[test]
fn a_queue_is_shortened_from_its_end() {
    let bytes: Vec<u8> = (0..3 * JOINED_BYTES).map(|byte| byte as u8).collect();
    for length in (0..=bytes.len()).step_by(JOINED_BYTES / 2) {
        let mut segments = Segments::default();
        for part in bytes.chunks(JOINED_BYTES) {
            segments.push(part);
        }
        segments.truncate(length);
        assert_eq!(segments.len(), length);
        let mut left = Vec::new();
        while !segments.is_empty() {
            left.extend(take(&mut segments, 100));
        }
        assert_eq!(left, &bytes[..length]);
    }
}

/// Guards against bytes that arrive one by one and take many times their size.
#[test]
fn bytes_that_arrive_one_by_one_share_segments() {
    let mut segments = Segments::default();
    for _ in 0..10 * JOINED_BYTES {
        segments.push(b"x");
    }
    assert_eq!(segments.segments.len(), 10);
}
