//! Recorded latencies, shared among tasks.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hdrhistogram::Histogram;

/// Significant digits of the recorded values.
const PRECISION: u8 = 3;

/// A histogram of latencies. Its clones share one histogram.
#[derive(Clone)]
pub(crate) struct LatencyHistogram(Rc<RefCell<Histogram<u64>>>);

impl LatencyHistogram {
    pub(crate) fn new() -> LatencyHistogram {
        let histogram = Histogram::new(PRECISION).expect("a precision up to 5 is valid");
        LatencyHistogram(Rc::new(RefCell::new(histogram)))
    }

    pub(crate) fn record(&self, latency: Duration) {
        let _ = self.0.borrow_mut().record(latency.as_micros() as u64);
    }

    pub(crate) fn quantile_ms(&self, quantile: f64) -> f64 {
        self.0.borrow().value_at_quantile(quantile) as f64 / 1_000.0
    }

    pub(crate) fn count(&self) -> u64 {
        self.0.borrow().len()
    }
}
