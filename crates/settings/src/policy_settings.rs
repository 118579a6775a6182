//! Conversion of the settings to the policy's types.

use cranetack_routing_policy::{
    Class, Idempotency, KeyScope, Kind, LoadReporting, Role, Settings, ZoneId,
};

use crate::bounds;
use crate::error::SettingsError;
use crate::site::{micros, ClassSettings, SiteSettings};

impl SiteSettings {
    /// Checks the settings and converts them to the policy's types. An error names the key at
    /// fault.
    pub fn policy_settings(&self) -> Result<Settings, SettingsError> {
        bounds::check(self)?;
        let (allowed, domain, rules) = (&self.allowed, &self.domain, &self.rules);
        Ok(Settings {
            router_count: self.router_count,
            router_index: self.router_index,
            zone: self.zone_id(),
            classes: self.policy_classes()?,
            kinds: self.policy_kinds()?,
            event_interval: micros(self.event_interval_us),
            slot_reservations: domain.slot_reservations,
            decode_can_prefill: domain.decode_can_prefill,
            resumable_streams: domain.resumable_streams,
            kv_lease_timeout: micros(domain.kv_lease_timeout_us),
            load_reporting: self.load_reporting()?,
            health_checks: allowed.health_checks,
            cancellation: allowed.cancellation,
            gossip: allowed.gossip,
            hedging: allowed.hedging,
            max_attempts: allowed.max_attempts,
            retry_after: allowed.retry_after,
            max_retry_after: micros(allowed.max_retry_after_us),
            endpoints_are_polled: self.endpoints_are_polled()?,
            poll_interval: micros(rules.poll_interval_us),
            response_slack: micros(rules.response_slack_us),
            overload_multiple: rules.overload_multiple,
            overload_window: micros(rules.overload_window_us),
            cold_capacity: rules.cold_capacity,
            warm_up: micros(rules.warm_up_us),
        })
    }

    fn zone_id(&self) -> Option<ZoneId> {
        let zone = self.zone.as_ref()?;
        let index = self.zones.iter().position(|name| name == zone)?;
        Some(ZoneId(index))
    }

    fn load_reporting(&self) -> Result<LoadReporting, SettingsError> {
        match self.report.how.as_deref() {
            Some("piggyback") => Ok(LoadReporting::WithOutcomes),
            Some("pull") => Ok(LoadReporting::OnHealthCheck),
            Some("silent") | None => Ok(LoadReporting::Never),
            Some(other) => Err(SettingsError::UnknownReporting(other.to_owned())),
        }
    }

    fn endpoints_are_polled(&self) -> Result<bool, SettingsError> {
        match self.membership_mode.as_deref() {
            Some("ask") => Ok(true),
            Some("push") | None => Ok(false),
            Some(other) => Err(SettingsError::UnknownMembershipMode(other.to_owned())),
        }
    }

    fn policy_classes(&self) -> Result<Vec<Class>, SettingsError> {
        let mut classes = Vec::with_capacity(self.classes.len());
        for (index, class) in self.classes.iter().enumerate() {
            classes.push(self.policy_class(index, class)?);
        }
        Ok(classes)
    }

    fn policy_class(&self, index: usize, class: &ClassSettings) -> Result<Class, SettingsError> {
        let domain = &self.domain;
        Ok(Class {
            latency_objective: micros(class.latency_objective_us),
            latency_objective_per_1000_tokens: element(
                &domain.latency_objective_us_per_1000_tokens,
                index,
            ),
            token_interval_objective: micros(element(&domain.token_interval_objective_us, index)),
            idempotency: idempotency(class)?,
            dedup_window: micros(class.dedup_window_us),
            priority_weight: class.priority_weight,
        })
    }

    fn policy_kinds(&self) -> Result<Vec<Kind>, SettingsError> {
        let mut kinds = Vec::with_capacity(self.kinds.len());
        for index in 0..self.kinds.len() {
            kinds.push(Kind {
                role: self.role_of_kind(index)?,
                memory_tokens: element(&self.domain.memory_tokens, index),
            });
        }
        Ok(kinds)
    }

    fn role_of_kind(&self, index: usize) -> Result<Option<Role>, SettingsError> {
        let roles = self.domain.role_of_kind.as_ref();
        let role = roles.and_then(|roles| roles.get(index));
        match role.map(String::as_str) {
            Some("read") => Ok(Some(Role::Prefill)),
            Some("write") => Ok(Some(Role::Decode)),
            Some("both") => Ok(Some(Role::Mixed)),
            None => Ok(None),
            Some(other) => Err(SettingsError::UnknownRole(other.to_owned())),
        }
    }
}

fn idempotency(class: &ClassSettings) -> Result<Idempotency, SettingsError> {
    match class.idempotency.as_deref() {
        Some("safe") => Ok(Idempotency::Idempotent),
        Some("keyed") => Ok(Idempotency::Keyed(key_scope(class)?)),
        Some("unsafe") | None => Ok(Idempotency::NonIdempotent),
        Some(other) => Err(SettingsError::UnknownIdempotency {
            class: class.name.clone(),
            value: other.to_owned(),
        }),
    }
}

fn key_scope(class: &ClassSettings) -> Result<KeyScope, SettingsError> {
    match class.key_scope.as_deref() {
        Some("all") => Ok(KeyScope::All),
        Some("zone") => Ok(KeyScope::Zone),
        Some("cell") | None => Ok(KeyScope::Cell),
        Some(_) => Err(SettingsError::UnknownKeyScope {
            class: class.name.clone(),
        }),
    }
}

/// The list element of a class or kind; `None` if the list is missing or too short.
fn element(list: &Option<Vec<f64>>, index: usize) -> Option<f64> {
    list.as_ref()?.get(index).copied()
}
