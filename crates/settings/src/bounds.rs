//! Range checks for the numbers in the settings. A value out of range is an error that names its
//! key.

use crate::error::OutOfRange;
use crate::site::{ClassSettings, LanguageModelSettings, Permissions, RouterRules, SiteSettings};

/// Maximum duration in a setting: one year. Sums of such a duration and a clock reading cannot
/// overflow.
const MAX_DURATION_US: f64 = 365.0 * 24.0 * 3_600.0 * 1e6;

/// The range of values that a setting accepts.
#[derive(Clone, Copy)]
enum Bound {
    /// A duration in microseconds; 0 is accepted.
    Duration,
    /// A duration in microseconds; 0 is not accepted.
    PositiveDuration,
    /// A finite number of at least 0.
    NonNegative,
    /// A finite number above 0.
    Positive,
    /// A share from 0 to 1.
    Share,
}

impl Bound {
    fn allows(self, value: f64) -> bool {
        match self {
            Bound::Duration => (0.0..=MAX_DURATION_US).contains(&value),
            Bound::PositiveDuration => value > 0.0 && value <= MAX_DURATION_US,
            Bound::NonNegative => value.is_finite() && value >= 0.0,
            Bound::Positive => value.is_finite() && value > 0.0,
            Bound::Share => (0.0..=1.0).contains(&value),
        }
    }

    fn expected(self) -> &'static str {
        match self {
            Bound::Duration => "from 0 to 31536000000000 microseconds (1 year)",
            Bound::PositiveDuration => "above 0 and at most 31536000000000 microseconds (1 year)",
            Bound::NonNegative => "at least 0",
            Bound::Positive => "above 0",
            Bound::Share => "from 0 to 1",
        }
    }

    fn check(self, key: impl FnOnce() -> String, value: Option<f64>) -> Result<(), OutOfRange> {
        match value {
            Some(value) if !self.allows(value) => Err(OutOfRange {
                key: key(),
                value,
                expected: self.expected(),
            }),
            _ => Ok(()),
        }
    }
}

/// Checks the range of each number in the settings.
pub(crate) fn check(site: &SiteSettings) -> Result<(), OutOfRange> {
    Bound::PositiveDuration.check(|| "period_us".to_owned(), site.event_interval_us)?;
    for (index, class) in site.classes.iter().enumerate() {
        check_class(index, class)?;
    }
    check_allowed(&site.allowed)?;
    check_domain(&site.domain)?;
    check_rules(&site.rules)
}

fn check_class(index: usize, class: &ClassSettings) -> Result<(), OutOfRange> {
    let key = |name: &str| format!("classes[{index}].{name}");
    Bound::PositiveDuration.check(|| key("deadline_us"), class.deadline_us)?;
    Bound::Duration.check(|| key("goal_time_us"), class.latency_objective_us)?;
    Bound::Duration.check(|| key("dedup_window_us"), class.dedup_window_us)?;
    Bound::NonNegative.check(|| key("points"), class.priority_weight)
}

fn check_allowed(allowed: &Permissions) -> Result<(), OutOfRange> {
    let key = |name: &str| format!("allowed.{name}");
    Bound::PositiveDuration.check(|| key("connect_timeout_us"), allowed.connect_timeout_us)?;
    Bound::Duration.check(|| key("idle_close_us"), allowed.idle_close_us)?;
    Bound::Positive.check(|| key("max_attempts"), allowed.max_attempts.map(f64::from))?;
    Bound::Duration.check(|| key("max_retry_after_us"), allowed.max_retry_after_us)
}

fn check_domain(domain: &LanguageModelSettings) -> Result<(), OutOfRange> {
    Bound::PositiveDuration.check(
        || "domain.pin_limit_us".to_owned(),
        domain.kv_lease_timeout_us,
    )?;
    let lists = [
        (
            "aim_us_per_1000_prompt_tokens",
            Bound::Duration,
            &domain.latency_objective_us_per_1000_tokens,
        ),
        (
            "token_aim_us",
            Bound::Duration,
            &domain.token_interval_objective_us,
        ),
        ("kv_tokens", Bound::NonNegative, &domain.memory_tokens),
    ];
    for (name, bound, values) in lists {
        for (index, value) in values.iter().flatten().enumerate() {
            bound.check(|| format!("domain.{name}[{index}]"), Some(*value))?;
        }
    }
    Ok(())
}

fn check_rules(rules: &RouterRules) -> Result<(), OutOfRange> {
    let key = |name: &str| format!("rules.{name}");
    Bound::Duration.check(|| key("answer_slack_us"), rules.response_slack_us)?;
    Bound::Duration.check(|| key("ask_within_us"), rules.poll_interval_us)?;
    Bound::Positive.check(|| key("fall_multiple"), rules.overload_multiple)?;
    Bound::Duration.check(|| key("fall_us"), rules.overload_window_us)?;
    Bound::Share.check(|| key("start_capacity"), rules.cold_capacity)?;
    Bound::Duration.check(|| key("warm_up_us"), rules.warm_up_us)
}
