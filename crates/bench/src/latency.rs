//! Histograms of latencies that several tasks record.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hdrhistogram::Histogram;

/// Number of significant decimal digits of the recorded values.
const SIGNIFICANT_DIGITS: u8 = 3;

/// A histogram of latencies, recorded in microseconds. Clones share the same data.
#[derive(Clone)]
pub(crate) struct LatencyHistogram(Rc<RefCell<Histogram<u64>>>);

impl LatencyHistogram {
    pub(crate) fn new() -> LatencyHistogram {
        let histogram = Histogram::new(SIGNIFICANT_DIGITS)
            .expect("the histogram accepts up to 5 significant digits");
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
