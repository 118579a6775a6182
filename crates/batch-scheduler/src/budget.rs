//! A budget for repeats: a share of the successes, so that repeats add little where much fails.

/// Repeats that may be made now.
#[derive(Debug, Clone)]
pub struct Budget {
    share: f64,
    most: f64,
    left: f64,
}

impl Budget {
    /// A budget of `share` repeats for each success, `most` of which may be saved. It starts full: the first to
    /// fail would else never be repeated.
    pub fn new(share: f64, most: f64) -> Budget {
        Budget {
            share,
            most,
            left: most,
        }
    }

    /// Notes a success.
    pub fn succeeded(&mut self) {
        self.left = (self.left + self.share).min(self.most);
    }

    /// Takes one repeat, if there is one.
    pub fn take(&mut self) -> bool {
        let may = self.left >= 1.0;
        if may {
            self.left -= 1.0;
        }
        may
    }
}

#[cfg(test)]
mod tests;
