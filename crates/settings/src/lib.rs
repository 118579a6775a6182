//! The settings object that a dispatcher is given: the same on the simulator's wire and in a router's
//! configuration file.

mod check;

use std::time::Duration;

use cranetack_routing_policy::{
    Class, Idempotency, KeyScope, Kind, LoadReporting, Role, Settings, ZoneId,
};
use serde::Deserialize;

pub use check::OutOfRange;

/// The settings of one dispatcher.
#[derive(Deserialize, Clone)]
pub struct SiteSettings {
    balancers: Option<u32>,
    me: Option<u32>,
    az: Option<String>,
    period_us: Option<f64>,
    membership_mode: Option<String>,
    /// The request classes.
    pub classes: Vec<ClassSettings>,
    /// The names of the kinds of server.
    pub kinds: Vec<String>,
    /// The names of the zones.
    pub zones: Vec<String>,
    /// The tenants; a site may have none.
    #[serde(default)]
    pub tenants: Vec<Named>,
    /// What the site permits.
    #[serde(default)]
    pub allowed: Allowed,
    #[serde(default)]
    domain: Domain,
    #[serde(default)]
    rules: Rules,
    /// The load reports.
    #[serde(default)]
    pub report: Report,
}

/// Something of which only the name is used here.
#[derive(Deserialize, Clone)]
pub struct Named {
    /// Its name.
    pub name: String,
}

/// A request class.
#[derive(Deserialize, Clone)]
pub struct ClassSettings {
    /// Its name.
    pub name: String,
    deadline_us: Option<f64>,
    goal_time_us: Option<f64>,
    idempotency: Option<String>,
    key_scope: Option<String>,
    dedup_window_us: Option<f64>,
    points: Option<f64>,
}

/// What the site permits, and its limits on connections.
#[derive(Deserialize, Default, Clone)]
pub struct Allowed {
    #[serde(default)]
    cancelling: bool,
    #[serde(default)]
    probing: bool,
    #[serde(default)]
    peers: bool,
    #[serde(default)]
    parallel_tries: bool,
    #[serde(default)]
    retry_after: bool,
    max_attempts: Option<u32>,
    max_retry_after_us: Option<f64>,
    connect_timeout_us: Option<f64>,
    idle_close_us: Option<f64>,
}

#[derive(Deserialize, Default, Clone)]
struct Domain {
    #[serde(default)]
    ahead: bool,
    #[serde(default)]
    self_prefill: bool,
    #[serde(default)]
    resume: bool,
    pin_limit_us: Option<f64>,
    aim_us_per_1000_prompt_tokens: Option<Vec<f64>>,
    token_aim_us: Option<Vec<f64>>,
    kv_tokens: Option<Vec<f64>>,
    stage_of_kind: Option<Vec<String>>,
    report_x0: Option<String>,
    report_x1: Option<String>,
}

#[derive(Deserialize, Default, Clone)]
struct Rules {
    answer_slack_us: Option<f64>,
    ask_within_us: Option<f64>,
    fall_multiple: Option<f64>,
    fall_us: Option<f64>,
    start_capacity: Option<f64>,
    warm_up_us: Option<f64>,
}

/// How servers report their load.
#[derive(Deserialize, Default, Clone)]
pub struct Report {
    /// `piggyback`, `pull` or `silent`.
    pub how: Option<String>,
    /// The column that carries the share of memory held.
    #[serde(skip)]
    pub memory_column: Option<String>,
    /// The column that carries the thousands of prompt tokens that wait.
    #[serde(skip)]
    pub pending_column: Option<String>,
}

impl ClassSettings {
    /// How long its client waits, over all its tries.
    pub fn deadline(&self) -> Option<Duration> {
        span(self.deadline_us)
    }
}

impl Allowed {
    /// How long a connection may take to come up.
    pub fn connect_timeout(&self) -> Option<Duration> {
        span(self.connect_timeout_us)
    }

    /// After how long a server closes an idle connection.
    pub fn idle_close(&self) -> Option<Duration> {
        span(self.idle_close_us)
    }
}

impl SiteSettings {
    /// Notes which report columns carry memory and waiting tokens, by the meaning that the settings give.
    pub fn name_columns(&mut self) {
        let meanings = [
            ("x0", self.domain.report_x0.as_deref()),
            ("x1", self.domain.report_x1.as_deref()),
        ];
        let find = |word: &str| {
            let named = meanings
                .iter()
                .find(|(_, m)| m.is_some_and(|m| m.contains(word)));
            named.map(|(column, _)| (*column).to_owned())
        };
        let (memory, pending) = (find("memory"), find("tokens waiting"));
        self.report.memory_column = memory;
        self.report.pending_column = pending;
    }

    /// The settings in the decision module's own types; an error names the key that cannot be used.
    pub fn policy_settings(&self) -> Result<Settings, String> {
        check::check(self).map_err(|error| error.to_string())?;
        let classes = self
            .classes
            .iter()
            .enumerate()
            .map(|(i, c)| self.class(i, c));
        let kinds = (0..self.kinds.len()).map(|i| self.kind(i));
        Ok(Settings {
            router_count: self.balancers,
            router_index: self.me,
            zone: self
                .az
                .as_ref()
                .and_then(|az| self.zones.iter().position(|z| z == az))
                .map(ZoneId),
            classes: classes.collect::<Result<_, _>>()?,
            kinds: kinds.collect::<Result<_, _>>()?,
            event_interval: micros(self.period_us),
            slot_reservations: self.domain.ahead,
            decode_can_prefill: self.domain.self_prefill,
            resumable_streams: self.domain.resume,
            kv_lease_timeout: micros(self.domain.pin_limit_us),
            load_reporting: match self.report.how.as_deref() {
                Some("piggyback") => LoadReporting::WithOutcomes,
                Some("pull") => LoadReporting::OnHealthCheck,
                Some("silent") | None => LoadReporting::Never,
                Some(other) => return Err(format!("unknown way of reporting {other:?}")),
            },
            health_checks: self.allowed.probing,
            cancellation: self.allowed.cancelling,
            gossip: self.allowed.peers,
            hedging: self.allowed.parallel_tries,
            max_attempts: self.allowed.max_attempts,
            retry_after: self.allowed.retry_after,
            max_retry_after: micros(self.allowed.max_retry_after_us),
            endpoints_are_polled: match self.membership_mode.as_deref() {
                Some("ask") => true,
                Some("push") | None => false,
                Some(other) => return Err(format!("unknown membership mode {other:?}")),
            },
            poll_interval: micros(self.rules.ask_within_us),
            response_slack: micros(self.rules.answer_slack_us),
            overload_multiple: self.rules.fall_multiple,
            overload_window: micros(self.rules.fall_us),
            cold_capacity: self.rules.start_capacity,
            warm_up: micros(self.rules.warm_up_us),
        })
    }

    fn class(&self, index: usize, site: &ClassSettings) -> Result<Class, String> {
        let scope = match site.key_scope.as_deref() {
            Some("all") => Some(KeyScope::All),
            Some("zone") => Some(KeyScope::Zone),
            Some("cell") | None => Some(KeyScope::Cell),
            Some(_) => None,
        };
        let idempotency = match (site.idempotency.as_deref(), scope) {
            (Some("safe"), _) => Idempotency::Idempotent,
            (Some("keyed"), Some(scope)) => Idempotency::Keyed(scope),
            (Some("keyed"), None) => {
                return Err(format!("class {:?}: unknown key scope", site.name))
            }
            (Some("unsafe") | None, _) => Idempotency::NonIdempotent,
            (Some(other), _) => {
                return Err(format!("class {:?}: unknown effect {other:?}", site.name))
            }
        };
        let nth = |list: &Option<Vec<f64>>| list.as_ref().and_then(|l| l.get(index).copied());
        Ok(Class {
            latency_objective: micros(site.goal_time_us),
            latency_objective_per_1000_tokens: nth(&self.domain.aim_us_per_1000_prompt_tokens),
            token_interval_objective: micros(nth(&self.domain.token_aim_us)),
            idempotency,
            dedup_window: micros(site.dedup_window_us),
            priority_weight: site.points,
        })
    }

    fn kind(&self, index: usize) -> Result<Kind, String> {
        let role = match self
            .domain
            .stage_of_kind
            .as_ref()
            .and_then(|s| s.get(index))
            .map(String::as_str)
        {
            Some("read") => Some(Role::Prefill),
            Some("write") => Some(Role::Decode),
            Some("both") => Some(Role::Mixed),
            None => None,
            Some(other) => return Err(format!("unknown stage {other:?}")),
        };
        let memory_tokens = self
            .domain
            .kv_tokens
            .as_ref()
            .and_then(|m| m.get(index).copied());
        Ok(Kind {
            role,
            memory_tokens,
        })
    }
}

fn micros(value: Option<f64>) -> Option<i64> {
    value.filter(|v| v.is_finite()).map(|v| v as i64)
}

fn span(value: Option<f64>) -> Option<Duration> {
    micros(value)
        .and_then(|us| u64::try_from(us).ok())
        .map(Duration::from_micros)
}
