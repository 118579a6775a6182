//! The parameters of a policy: its settings with the defaults filled in, resolved once at its
//! start.

use crate::config::{Class, LoadReporting, Role, Settings};
use crate::idempotency::RetryRule;
use crate::ids::{ClassId, KindId, Micros, ZoneId};

/// Interval of the policy's periodic work, in microseconds: it looks for overdue attempts, advances
/// the queue and a shutdown, and sends the next health check. It is also the default event
/// interval, and the lower bound of the poll interval and of `Retry-After`.
pub(crate) const TICK: Micros = 50_000;

const DEFAULT_LATENCY_OBJECTIVE: Micros = 2_000_000;
const DEFAULT_PRIORITY_WEIGHT: f64 = 1.0;
const DEFAULT_MAX_ATTEMPTS: u32 = 4;
const DEFAULT_KV_LEASE_TIMEOUT: Micros = 500_000;
const DEFAULT_OVERLOAD_MULTIPLE: f64 = 2.0;
const DEFAULT_OVERLOAD_WINDOW: Micros = 2_000_000;
const DEFAULT_COLD_CAPACITY: f64 = 0.15;
const DEFAULT_WARM_UP: Micros = 20_000_000;
/// Number of routers assumed to share the endpoints if the settings do not give it. It is high so
/// that the router is careful with the endpoints.
const DEFAULT_ROUTER_COUNT: u32 = 16;

/// Share of the KV lease timeout after which KV state is released. It is below 1 because timers may
/// be late.
const KV_LEASE_SHARE: f64 = 0.6;
/// Minimum share of its capacity that an endpoint is assumed to have after its start.
const MIN_COLD_CAPACITY: f64 = 0.01;

/// The parameters of a request class.
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

    /// Returns the time within which the first token of the response to a prompt of this length
    /// should be sent.
    pub(crate) fn latency_objective(&self, prompt_tokens: u64) -> Micros {
        let prompt_allowance =
            self.latency_objective_per_1000_tokens * prompt_tokens as f64 / 1000.0;
        self.latency_objective + prompt_allowance as Micros
    }
}

/// The capacity of an endpoint in slow start, and the load at which it is overloaded.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlowStartParameters {
    /// Share of its capacity that an endpoint has right after its start.
    pub(crate) cold_capacity: f64,
    /// Time after its start at which an endpoint has its whole capacity, in microseconds.
    pub(crate) warm_up: f64,
    /// Multiple of its present capacity that overloads an endpoint if it is sent this load for
    /// [`SlowStartParameters::overload_window`].
    pub(crate) overload_multiple: f64,
    /// Duration of such a load that overloads an endpoint, in microseconds.
    pub(crate) overload_window: f64,
}

/// The settings with the defaults filled in.
#[derive(Debug)]
pub(crate) struct Parameters {
    /// Number of routers that share the endpoints, for estimates of sums over all routers.
    pub(crate) router_count: f64,
    /// Number of other routers according to the settings; 0 if the settings give no number.
    pub(crate) peer_count: u32,
    pub(crate) router_index: Option<u32>,
    pub(crate) zone: Option<ZoneId>,
    pub(crate) max_attempts: u32,
    /// Time before a client's deadline at which a queued request gets its final response.
    response_margin: Micros,
    /// Time after which KV state that is held for a request is released.
    pub(crate) kv_lease_duration: Micros,
    /// Longest `Retry-After` that a rejected client is given; 0 if none may be given.
    pub(crate) max_retry_after: Micros,
    pub(crate) slow_start: SlowStartParameters,
    pub(crate) slot_reservations: bool,
    pub(crate) decode_can_prefill: bool,
    pub(crate) resumable_streams: bool,
    /// Whether health checks may be sent and only their responses contain load reports.
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
            kv_lease_duration: kv_lease_duration(settings),
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

    /// Returns when a request with this deadline must get its final response if it still waits.
    pub(crate) fn respond_by(&self, deadline: Micros) -> Micros {
        deadline - self.response_margin
    }
}

fn response_margin(settings: &Settings) -> Micros {
    let two_event_intervals = 2 * settings.event_interval.unwrap_or(TICK);
    if settings.response_slack.unwrap_or(0) > two_event_intervals {
        0
    } else {
        two_event_intervals
    }
}

fn kv_lease_duration(settings: &Settings) -> Micros {
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
