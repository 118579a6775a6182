//! The settings with all defaults filled in, resolved once at the start of a policy.

use crate::config::{Class, LoadReporting, Role, Settings};
use crate::idempotency::RetryRule;
use crate::ids::{ClassId, KindId, Micros, ZoneId};

/// The span between two periodic checks of timers, health checks and queued requests (us).
pub(crate) const TICK: Micros = 50_000;

const DEFAULT_LATENCY_OBJECTIVE: Micros = 2_000_000;
const DEFAULT_PRIORITY_WEIGHT: f64 = 1.0;
const DEFAULT_MAX_ATTEMPTS: u32 = 4;
const DEFAULT_KV_LEASE_TIMEOUT: Micros = 500_000;
const DEFAULT_OVERLOAD_MULTIPLE: f64 = 2.0;
const DEFAULT_OVERLOAD_WINDOW: Micros = 2_000_000;
const DEFAULT_COLD_CAPACITY: f64 = 0.15;
const DEFAULT_WARM_UP: Micros = 20_000_000;
/// Routers that share the endpoints where the settings do not say: as many as to be careful.
const DEFAULT_ROUTER_COUNT: u32 = 16;

/// The share of the KV lease timeout after which KV state is released, as timers may be late.
const KV_LEASE_SHARE: f64 = 0.6;
/// The least share of its capacity that an endpoint is taken to have after its start.
const MIN_COLD_CAPACITY: f64 = 0.01;

/// A request class.
#[derive(Debug, Clone)]
pub(crate) struct ClassParameters {
    latency_objective: Micros,
    latency_objective_per_1000_tokens: f64,
    pub(crate) priority_weight: f64,
    pub(crate) retry_rule: RetryRule,
}

impl ClassParameters {
    fn new(class: Option<&Class>) -> ClassParameters {
        ClassParameters {
            latency_objective: class
                .and_then(|class| class.latency_objective)
                .unwrap_or(DEFAULT_LATENCY_OBJECTIVE),
            latency_objective_per_1000_tokens: class
                .and_then(|class| class.latency_objective_per_1000_tokens)
                .unwrap_or(0.0),
            priority_weight: class
                .and_then(|class| class.priority_weight)
                .unwrap_or(DEFAULT_PRIORITY_WEIGHT),
            retry_rule: RetryRule::of(class),
        }
    }

    /// The span within which the first token of a response to such a prompt should be sent.
    pub(crate) fn latency_objective(&self, prompt_tokens: u64) -> Micros {
        let thousands_times_slope =
            self.latency_objective_per_1000_tokens * prompt_tokens as f64 / 1000.0;
        self.latency_objective + thousands_times_slope as Micros
    }
}

/// What slow start is bounded by.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlowStartParameters {
    /// The share of its capacity that an endpoint has right after its start.
    pub(crate) cold_capacity: f64,
    /// The span after which it has all of it (us).
    pub(crate) warm_up: f64,
    /// The multiple of its present capacity at which it is overloaded ...
    pub(crate) overload_multiple: f64,
    /// ... when it is sent that for this span (us).
    pub(crate) overload_window: f64,
}

/// The settings with all defaults filled in.
#[derive(Debug)]
pub(crate) struct Parameters {
    /// The routers that share the endpoints, for sums over all of them.
    pub(crate) router_count: f64,
    /// The other routers that the settings name.
    pub(crate) peer_count: u32,
    pub(crate) router_index: Option<u32>,
    pub(crate) zone: Option<ZoneId>,
    pub(crate) max_attempts: u32,
    /// The span before a client's deadline at which a queued request gets its final response.
    response_margin: Micros,
    /// The span after which KV state that is held for a request is released.
    pub(crate) kv_lease: Micros,
    /// The longest advice to a rejected client; 0 where none may be given.
    pub(crate) max_retry_after: Micros,
    pub(crate) slow_start: SlowStartParameters,
    pub(crate) slot_reservations: bool,
    pub(crate) decode_can_prefill: bool,
    pub(crate) resumable_streams: bool,
    /// Health checks may be sent, and their responses contain load reports.
    pub(crate) health_checks_report_load: bool,
    pub(crate) cancellation: bool,
    pub(crate) gossip: bool,
    pub(crate) endpoints_are_polled: bool,
    pub(crate) poll_interval: Option<Micros>,
    classes: Vec<ClassParameters>,
    unknown_class: ClassParameters,
    roles: Vec<Role>,
}

impl Parameters {
    pub(crate) fn new(settings: &Settings) -> Parameters {
        Parameters {
            router_count: f64::from(
                settings
                    .router_count
                    .filter(|count| *count > 0)
                    .unwrap_or(DEFAULT_ROUTER_COUNT),
            ),
            peer_count: settings.router_count.unwrap_or(0).saturating_sub(1),
            router_index: settings.router_index,
            zone: settings.zone,
            max_attempts: settings.max_attempts.unwrap_or(DEFAULT_MAX_ATTEMPTS),
            response_margin: response_margin(settings),
            kv_lease: kv_lease(settings),
            max_retry_after: max_retry_after(settings),
            slow_start: slow_start(settings),
            slot_reservations: settings.slot_reservations,
            decode_can_prefill: settings.decode_can_prefill,
            resumable_streams: settings.resumable_streams,
            health_checks_report_load: settings.health_checks
                && settings.load_reporting == LoadReporting::OnHealthCheck,
            cancellation: settings.cancellation,
            gossip: settings.gossip,
            endpoints_are_polled: settings.endpoints_are_polled,
            poll_interval: settings.poll_interval,
            classes: settings
                .classes
                .iter()
                .map(|class| ClassParameters::new(Some(class)))
                .collect(),
            unknown_class: ClassParameters::new(None),
            roles: settings
                .kinds
                .iter()
                .map(|kind| kind.role.unwrap_or(Role::Mixed))
                .collect(),
        }
    }

    pub(crate) fn class(&self, class: ClassId) -> &ClassParameters {
        self.classes.get(class.0).unwrap_or(&self.unknown_class)
    }

    pub(crate) fn role(&self, kind: KindId) -> Role {
        self.roles.get(kind.0).copied().unwrap_or(Role::Mixed)
    }

    /// When a request that still waits must get its final response.
    pub(crate) fn respond_by(&self, deadline: Micros) -> Micros {
        deadline - self.response_margin
    }
}

fn response_margin(settings: &Settings) -> Micros {
    let two_deliveries = 2 * settings.event_interval.unwrap_or(TICK);
    if settings.response_slack.unwrap_or(0) > two_deliveries {
        0
    } else {
        two_deliveries
    }
}

fn kv_lease(settings: &Settings) -> Micros {
    let timeout = settings
        .kv_lease_timeout
        .unwrap_or(DEFAULT_KV_LEASE_TIMEOUT);
    (timeout as f64 * KV_LEASE_SHARE) as Micros
}

fn max_retry_after(settings: &Settings) -> Micros {
    if !settings.retry_after {
        return 0;
    }
    settings.max_retry_after.unwrap_or(0).max(0)
}

fn slow_start(settings: &Settings) -> SlowStartParameters {
    SlowStartParameters {
        cold_capacity: settings
            .cold_capacity
            .unwrap_or(DEFAULT_COLD_CAPACITY)
            .clamp(MIN_COLD_CAPACITY, 1.0),
        warm_up: settings.warm_up.unwrap_or(DEFAULT_WARM_UP).max(1) as f64,
        overload_multiple: settings
            .overload_multiple
            .unwrap_or(DEFAULT_OVERLOAD_MULTIPLE),
        overload_window: settings.overload_window.unwrap_or(DEFAULT_OVERLOAD_WINDOW) as f64,
    }
}
