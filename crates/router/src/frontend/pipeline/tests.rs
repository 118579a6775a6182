//! Tests of what the HTTP library is given of a pipeline, without a socket.

use super::*;

/// Length in bytes of the bodies of the tests' requests.
const BODY_BYTES: usize = 100;

fn request(body_byte: char) -> Vec<u8> {
    let body = body_byte.to_string().repeat(BODY_BYTES);
    format!("POST /x HTTP/1.1\r\ncontent-length: {BODY_BYTES}\r\n\r\n{body}").into_bytes()
}

fn deliver(pipeline: &mut Pipeline, progress: Progress) -> (Delivery, Vec<u8>) {
    let mut bytes = [0; 4_096];
    let mut buf = ReadBuf::new(&mut bytes);
    let delivery = pipeline.deliver(&mut buf, progress);
    (delivery, buf.filled().to_vec())
}

/// Guards against lost requests: each one that was read is served or rejected, in order, and what
/// follows is served again.
#[test]
fn a_request_that_is_discarded_is_replaced_by_a_placeholder_and_rejected() {
    let mut pipeline = Pipeline::default();
    pipeline.read_directly(&request('a'), Instant::now());
    assert_eq!(pipeline.begin_request(), Admission::Served);
    let second = request('b');
    let third = request('c');
    pipeline.buffer(&second, Instant::now());
    pipeline.buffer(&third[..60], Instant::now());
    pipeline.discard(&third[60..]);
    pipeline.discard(&request('d')[..80]);
    let delivered = deliver(&mut pipeline, Progress::Answering);
    assert_eq!(delivered, (Delivery::Copied, second));
    assert_eq!(pipeline.begin_request(), Admission::Served);
    for _ in ["third", "fourth"] {
        assert!(pipeline.owes_responses());
        let delivered = deliver(&mut pipeline, Progress::Answering);
        assert_eq!(delivered, (Delivery::Copied, PLACEHOLDER.to_vec()));
        assert_eq!(pipeline.begin_request(), Admission::Rejected);
    }
    assert!(!pipeline.owes_responses() && !pipeline.is_idle());
    let nothing = Vec::new();
    let after_response = (Delivery::AfterResponse, nothing.clone());
    assert_eq!(deliver(&mut pipeline, Progress::Answering), after_response);
    let discard = (Delivery::DiscardFromSocket, nothing.clone());
    assert_eq!(deliver(&mut pipeline, Progress::NotBegun), discard);
    pipeline.discard(&request('d')[80..]);
    let socket = (Delivery::Socket, nothing);
    assert_eq!(deliver(&mut pipeline, Progress::NotBegun), socket);
    pipeline.read_directly(&request('e'), Instant::now());
    assert_eq!(pipeline.begin_request(), Admission::Served);
    assert!(pipeline.is_idle() && !pipeline.is_last_request());
}

/// Guards against a connection on which a response is missing: a request whose head the HTTP
/// library has read cannot be replaced, so its body is filled up.
#[test]
fn a_body_that_is_discarded_behind_a_delivered_head_is_filled_up_and_not_served() {
    let mut pipeline = Pipeline::default();
    let second = request('b');
    let (head_and_start, rest) = second.split_at(second.len() - 90);
    pipeline.read_directly(
        &[request('a'), head_and_start.to_vec()].concat(),
        Instant::now(),
    );
    assert_eq!(pipeline.begin_request(), Admission::Served);
    pipeline.discard(rest);
    pipeline.discard(&request('c'));
    assert!(pipeline.owes_responses());
    assert_eq!(pipeline.begin_request(), Admission::Served);
    let delivered = deliver(&mut pipeline, Progress::ReceivingBody);
    assert_eq!(delivered, (Delivery::Copied, vec![0; 90]));
    assert!(pipeline.is_body_incomplete());
    let delivered = deliver(&mut pipeline, Progress::Answering);
    assert_eq!(delivered, (Delivery::Copied, PLACEHOLDER.to_vec()));
    assert_eq!(pipeline.begin_request(), Admission::Rejected);
    assert!(!pipeline.is_body_incomplete() && pipeline.is_idle());
}

/// An endless flood that is no HTTP holds no memory.
#[test]
fn bytes_that_are_discarded_are_not_kept() {
    let mut pipeline = Pipeline::default();
    pipeline.read_directly(&request('a'), Instant::now());
    pipeline.begin_request();
    for _ in 0..100 {
        pipeline.discard(&[b'x'; 4_096]);
    }
    assert_eq!(pipeline.buffered_bytes(), 0);
    assert!(!pipeline.owes_responses());
    let delivered = deliver(&mut pipeline, Progress::Answering);
    assert_eq!(delivered, (Delivery::AfterResponse, Vec::new()));
}

/// Guards against a deadline that is passed on in full although its request has waited.
#[test]
fn a_request_counts_from_when_it_was_complete_and_not_from_when_it_begins() {
    let start = Instant::now();
    let at = |seconds| start + std::time::Duration::from_secs(seconds);
    let mut pipeline = Pipeline::default();
    pipeline.read_directly(&request('a'), at(0));
    let third = request('c');
    pipeline.buffer(&[request('b'), third[..20].to_vec()].concat(), at(1));
    pipeline.buffer(&third[20..130], at(2));
    for completed_at in [Some(at(0)), Some(at(1)), None] {
        pipeline.begin_request();
        assert_eq!(pipeline.completed_at(), completed_at);
    }
    for second in 3..200 {
        pipeline.buffer(&request('x'), at(second));
    }
    assert_eq!(pipeline.arrivals.len(), MAX_ARRIVALS);
}
