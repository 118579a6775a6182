//! The settings object as it is decoded from JSON.

use std::time::Duration;

use serde::Deserialize;

/// The settings of one router at a site.
#[derive(Deserialize, Clone)]
pub struct SiteSettings {
    #[serde(rename = "balancers")]
    pub(crate) router_count: Option<u32>,
    #[serde(rename = "me")]
    pub(crate) router_index: Option<u32>,
    #[serde(rename = "az")]
    pub(crate) zone: Option<String>,
    #[serde(rename = "period_us")]
    pub(crate) event_interval_us: Option<f64>,
    pub(crate) membership_mode: Option<String>,
    /// The request classes.
    pub classes: Vec<ClassSettings>,
    /// The names of the kinds of endpoint.
    pub kinds: Vec<String>,
    /// The names of the zones.
    pub zones: Vec<String>,
    /// The tenants; a site may have none.
    #[serde(default)]
    pub tenants: Vec<TenantSettings>,
    /// The optional features and limits of the site.
    #[serde(default)]
    pub allowed: Permissions,
    #[serde(default)]
    pub(crate) domain: LanguageModelSettings,
    #[serde(default)]
    pub(crate) rules: RouterRules,
    /// The load reports of endpoints.
    #[serde(default)]
    pub report: LoadReportSettings,
}

/// A tenant, of which only the name is used.
#[derive(Deserialize, Clone)]
pub struct TenantSettings {
    /// The tenant's name.
    pub name: String,
}

/// A request class.
#[derive(Deserialize, Clone)]
pub struct ClassSettings {
    /// The class's name.
    pub name: String,
    pub(crate) deadline_us: Option<f64>,
    #[serde(rename = "goal_time_us")]
    pub(crate) latency_objective_us: Option<f64>,
    pub(crate) idempotency: Option<String>,
    pub(crate) key_scope: Option<String>,
    pub(crate) dedup_window_us: Option<f64>,
    #[serde(rename = "points")]
    pub(crate) priority_weight: Option<f64>,
}

/// Optional features that the site permits, and its limits on attempts and connections.
#[derive(Deserialize, Default, Clone)]
pub struct Permissions {
    #[serde(default, rename = "cancelling")]
    pub(crate) cancellation: bool,
    #[serde(default, rename = "probing")]
    pub(crate) health_checks: bool,
    #[serde(default, rename = "peers")]
    pub(crate) gossip: bool,
    #[serde(default, rename = "parallel_tries")]
    pub(crate) hedging: bool,
    #[serde(default)]
    pub(crate) retry_after: bool,
    pub(crate) max_attempts: Option<u32>,
    pub(crate) max_retry_after_us: Option<f64>,
    pub(crate) connect_timeout_us: Option<f64>,
    pub(crate) idle_close_us: Option<f64>,
}

/// Settings that only language-model services have. Each list has an element per class or per kind.
#[derive(Deserialize, Default, Clone)]
pub(crate) struct LanguageModelSettings {
    #[serde(default, rename = "ahead")]
    pub(crate) slot_reservations: bool,
    #[serde(default, rename = "self_prefill")]
    pub(crate) decode_can_prefill: bool,
    #[serde(default, rename = "resume")]
    pub(crate) resumable_streams: bool,
    #[serde(rename = "pin_limit_us")]
    pub(crate) kv_lease_timeout_us: Option<f64>,
    #[serde(rename = "aim_us_per_1000_prompt_tokens")]
    pub(crate) latency_objective_us_per_1000_tokens: Option<Vec<f64>>,
    #[serde(rename = "token_aim_us")]
    pub(crate) token_interval_objective_us: Option<Vec<f64>>,
    #[serde(rename = "kv_tokens")]
    pub(crate) memory_tokens: Option<Vec<f64>>,
    #[serde(rename = "stage_of_kind")]
    pub(crate) role_of_kind: Option<Vec<String>>,
    /// The meaning of column `x0` in load reports, in words.
    #[serde(rename = "report_x0")]
    pub(crate) meaning_of_x0: Option<String>,
    /// The meaning of column `x1` in load reports, in words.
    #[serde(rename = "report_x1")]
    pub(crate) meaning_of_x1: Option<String>,
}

/// Rules that routers must follow: time limits, and the load limits of slow start.
#[derive(Deserialize, Default, Clone)]
pub(crate) struct RouterRules {
    #[serde(rename = "answer_slack_us")]
    pub(crate) response_slack_us: Option<f64>,
    #[serde(rename = "ask_within_us")]
    pub(crate) poll_interval_us: Option<f64>,
    #[serde(rename = "fall_multiple")]
    pub(crate) overload_multiple: Option<f64>,
    #[serde(rename = "fall_us")]
    pub(crate) overload_window_us: Option<f64>,
    #[serde(rename = "start_capacity")]
    pub(crate) cold_capacity: Option<f64>,
    pub(crate) warm_up_us: Option<f64>,
}

/// How endpoints report their load.
#[derive(Deserialize, Default, Clone)]
pub struct LoadReportSettings {
    /// The reporting mode: `piggyback` (with the outcomes of attempts and health checks), `pull`
    /// (with the outcomes of health checks alone) or `silent` (no load reports).
    pub how: Option<String>,
    /// The name of the column that contains the share of memory in use.
    #[serde(skip)]
    pub memory_column: Option<String>,
    /// The name of the column that contains the number of waiting prompt tokens, in thousands.
    #[serde(skip)]
    pub pending_column: Option<String>,
}

impl ClassSettings {
    /// The maximum time that a client waits for the response, over all attempts.
    pub fn deadline(&self) -> Option<Duration> {
        duration(self.deadline_us)
    }
}

impl Permissions {
    /// The maximum time for connecting to an endpoint.
    pub fn connect_timeout(&self) -> Option<Duration> {
        duration(self.connect_timeout_us)
    }

    /// The idle time after which an endpoint closes a connection.
    pub fn idle_close(&self) -> Option<Duration> {
        duration(self.idle_close_us)
    }
}

impl SiteSettings {
    /// Finds the columns of load reports whose meaning in the settings contains "memory" or
    /// "tokens waiting", and stores their names in `memory_column` and `pending_column`.
    pub fn resolve_report_columns(&mut self) {
        self.report.memory_column = self.column_by_meaning("memory");
        self.report.pending_column = self.column_by_meaning("tokens waiting");
    }

    fn column_by_meaning(&self, words: &str) -> Option<String> {
        let columns = [
            ("x0", &self.domain.meaning_of_x0),
            ("x1", &self.domain.meaning_of_x1),
        ];
        for (column, meaning) in columns {
            if meaning
                .as_ref()
                .is_some_and(|meaning| meaning.contains(words))
            {
                return Some(column.to_owned());
            }
        }
        None
    }
}

/// Truncates a value to whole microseconds; `None` if it is absent or not finite.
pub(crate) fn micros(value: Option<f64>) -> Option<i64> {
    let value = value.filter(|value| value.is_finite())?;
    Some(value as i64)
}

fn duration(value: Option<f64>) -> Option<Duration> {
    let micros = u64::try_from(micros(value)?).ok()?;
    Some(Duration::from_micros(micros))
}
