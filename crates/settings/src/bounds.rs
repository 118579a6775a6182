//! Bounds on the settings' figures: one that cannot be meant is refused, naming its key, before
//! anything is built on it.

use crate::error::OutOfRange;
use crate::site::{Allowed, ClassSettings, Domain, Rules, SiteSettings};

/// The longest span that a setting may name, in microseconds: a year. Sums with the clock stay far
/// from overflow.
const LONGEST_US: f64 = 365.0 * 24.0 * 3_600.0 * 1e6;

/// A bound on a figure.
#[derive(Clone, Copy)]
enum Bound {
    /// A span in microseconds that may be nothing.
    Span,
    /// A span in microseconds of some length.
    PositiveSpan,
    /// Any figure of at least nothing.
    NotNegative,
    /// Any figure above nothing.
    Positive,
    /// A share of at most one.
    Share,
}

impl Bound {
    fn allows(self, figure: f64) -> bool {
        match self {
            Bound::Span => (0.0..=LONGEST_US).contains(&figure),
            Bound::PositiveSpan => figure > 0.0 && figure <= LONGEST_US,
            Bound::NotNegative => figure.is_finite() && figure >= 0.0,
            Bound::Positive => figure.is_finite() && figure > 0.0,
            Bound::Share => (0.0..=1.0).contains(&figure),
        }
    }

    fn expected(self) -> &'static str {
        match self {
            Bound::Span => "0 to a year in microseconds",
            Bound::PositiveSpan => "more than 0 and at most a year in microseconds",
            Bound::NotNegative => "at least 0",
            Bound::Positive => "more than 0",
            Bound::Share => "0 to 1",
        }
    }

    fn check(self, key: impl FnOnce() -> String, figure: Option<f64>) -> Result<(), OutOfRange> {
        match figure {
            Some(figure) if !self.allows(figure) => Err(OutOfRange {
                key: key(),
                figure,
                expected: self.expected(),
            }),
            _ => Ok(()),
        }
    }
}

/// Checks all figures of the settings.
pub(crate) fn check(site: &SiteSettings) -> Result<(), OutOfRange> {
    Bound::PositiveSpan.check(|| "period_us".to_owned(), site.event_interval_us)?;
    for (index, class) in site.classes.iter().enumerate() {
        check_class(index, class)?;
    }
    check_allowed(&site.allowed)?;
    check_domain(&site.domain)?;
    check_rules(&site.rules)
}

fn check_class(index: usize, class: &ClassSettings) -> Result<(), OutOfRange> {
    let key = |name: &str| format!("classes[{index}].{name}");
    Bound::PositiveSpan.check(|| key("deadline_us"), class.deadline_us)?;
    Bound::Span.check(|| key("goal_time_us"), class.latency_objective_us)?;
    Bound::Span.check(|| key("dedup_window_us"), class.dedup_window_us)?;
    Bound::NotNegative.check(|| key("points"), class.priority_weight)
}

fn check_allowed(allowed: &Allowed) -> Result<(), OutOfRange> {
    let key = |name: &str| format!("allowed.{name}");
    Bound::PositiveSpan.check(|| key("connect_timeout_us"), allowed.connect_timeout_us)?;
    Bound::Span.check(|| key("idle_close_us"), allowed.idle_close_us)?;
    Bound::Positive.check(|| key("max_attempts"), allowed.max_attempts.map(f64::from))?;
    Bound::Span.check(|| key("max_retry_after_us"), allowed.max_retry_after_us)
}

fn check_domain(domain: &Domain) -> Result<(), OutOfRange> {
    Bound::PositiveSpan.check(
        || "domain.pin_limit_us".to_owned(),
        domain.kv_lease_timeout_us,
    )?;
    let lists = [
        (
            "aim_us_per_1000_prompt_tokens",
            Bound::Span,
            &domain.latency_objective_us_per_1000_tokens,
        ),
        (
            "token_aim_us",
            Bound::Span,
            &domain.token_interval_objective_us,
        ),
        ("kv_tokens", Bound::NotNegative, &domain.memory_tokens),
    ];
    for (name, bound, figures) in lists {
        for (index, figure) in figures.iter().flatten().enumerate() {
            bound.check(|| format!("domain.{name}[{index}]"), Some(*figure))?;
        }
    }
    Ok(())
}

fn check_rules(rules: &Rules) -> Result<(), OutOfRange> {
    let key = |name: &str| format!("rules.{name}");
    Bound::Span.check(|| key("answer_slack_us"), rules.response_slack_us)?;
    Bound::Span.check(|| key("ask_within_us"), rules.poll_interval_us)?;
    Bound::Positive.check(|| key("fall_multiple"), rules.overload_multiple)?;
    Bound::Span.check(|| key("fall_us"), rules.overload_window_us)?;
    Bound::Share.check(|| key("start_capacity"), rules.cold_capacity)?;
    Bound::Span.check(|| key("warm_up_us"), rules.warm_up_us)
}
