//! The body of a request as it is forwarded to an endpoint.

use std::rc::Rc;

use bytes::Bytes;

/// The body of a forwarded request, in segments. Large bodies are held in segments of one size: the
/// memory of one buffer for each body could not be used for much else once the body is gone. Cheap to
/// clone.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Payload {
    segments: Rc<[Bytes]>,
    length: usize,
}

impl Payload {
    /// Creates a body of the bytes of all segments, in order.
    pub fn from_segments(segments: Vec<Bytes>) -> Payload {
        Payload {
            length: segments.iter().map(Bytes::len).sum(),
            segments: segments.into(),
        }
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the segments in order.
    pub fn segments(&self) -> &[Bytes] {
        &self.segments
    }
}

impl<T: Into<Bytes>> From<T> for Payload {
    fn from(bytes: T) -> Payload {
        Payload::from_segments(vec![bytes.into()])
    }
}
