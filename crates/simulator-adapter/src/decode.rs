//! Decodes wire messages into the policy's events.

use std::collections::BTreeMap;

use cranetack_routing_policy::{
    CellId, ClassId, ConnectFailure, EndpointId, EndpointSpec, EndpointState, EndpointUpdate,
    Event, KindId, LoadReport, Micros, Outcome, PrefixId, RejectReason, RequestId, RequestSpec,
    ResetCause, SessionId, TimerKey, ZoneId,
};
use serde_json::Value;

use crate::error::WireError;
use crate::fields::Fields;
use crate::names::stable_hash;
use crate::router_policy::RouterPolicy;

/// The entries of each endpoint catalog, by the number of the catalog.
pub(crate) type Catalogs = BTreeMap<u64, Vec<CatalogEntry>>;

/// An endpoint in a catalog. Each router resolves the names of kind and zone by its own settings.
#[derive(Clone)]
pub(crate) struct CatalogEntry {
    endpoint: String,
    started_at: Option<Micros>,
    kind: String,
    state: EndpointState,
    cell: i64,
    weight: f64,
    zone: String,
}

/// Decodes the entries of a "catalog" message.
pub(crate) fn decode_catalog(fields: &Fields) -> Result<Vec<CatalogEntry>, WireError> {
    let entries = fields
        .optional(1)
        .and_then(Value::as_array)
        .ok_or_else(|| fields.unexpected_value(1, "a list of entries"))?;
    entries.iter().map(decode_entry).collect()
}

fn decode_entry(entry: &Value) -> Result<CatalogEntry, WireError> {
    const DEFAULT_WEIGHT: f64 = 1.0;
    let values = entry.as_array().ok_or(WireError::EntryNotAnArray)?;
    let fields = Fields {
        name: "catalog entry",
        values,
    };
    let weight = match fields.optional(5) {
        None => DEFAULT_WEIGHT,
        Some(value) => value
            .as_f64()
            .ok_or_else(|| fields.unexpected_value(5, "a number"))?,
    };
    Ok(CatalogEntry {
        endpoint: fields.text(0)?.to_owned(),
        started_at: fields.optional_int(1)?.filter(|at| *at != 0),
        kind: fields.text(2)?.to_owned(),
        state: match fields.text(3)? {
            "U" => EndpointState::Active,
            "L" => EndpointState::Draining,
            "D" => EndpointState::Removed,
            _ => return Err(fields.unexpected_value(3, "U, L or D")),
        },
        cell: fields.optional_int(4)?.unwrap_or(0),
        weight,
        zone: fields.text(6)?.to_owned(),
    })
}

/// Decodes an outcome. `detail` is the number that comes with it; its meaning depends on the
/// outcome.
fn decode_outcome(fields: &Fields, index: usize, detail: u64) -> Result<Outcome, WireError> {
    Ok(match (fields.text(index)?, detail) {
        ("GOOD", _) => Outcome::Completed,
        ("BAD", _) => Outcome::ServerError,
        ("FULL", 1) => Outcome::Rejected(RejectReason::NoKvState),
        ("FULL", _) => Outcome::Rejected(RejectReason::Overloaded),
        ("LATE", _) => Outcome::TimedOut,
        ("NOCONN", 1) => Outcome::ConnectFailed(ConnectFailure::LocalResources),
        ("NOCONN", _) => Outcome::ConnectFailed(ConnectFailure::Unreachable),
        ("RST", 1) => Outcome::ConnectionReset(ResetCause::StaleIdle),
        ("RST", _) => Outcome::ConnectionReset(ResetCause::InUse),
        ("CXL", _) => Outcome::Cancelled,
        ("NOP", _) => Outcome::NotSent,
        ("half_done", cached_tokens) => Outcome::Prefilled { cached_tokens },
        _ => return Err(fields.unexpected_value(index, "an outcome")),
    })
}

impl RouterPolicy {
    /// Decodes a message; `None` for a timer whose number is no [`TimerKey`].
    pub(crate) fn decode_event(
        &mut self,
        fields: &Fields,
        catalogs: &Catalogs,
    ) -> Result<Option<Event>, WireError> {
        let event = match fields.name {
            "directory_update" => {
                Event::EndpointsUpdated(self.decode_endpoint_update(fields, catalogs)?)
            }
            "ask" => Event::RequestArrived(self.decode_request(fields)?),
            "established" => self.decode_stream_started(fields)?,
            "answer_ahead" => self.decode_slot_reservation(fields)?,
            "result" => self.decode_attempt_ended(fields)?,
            "timed_out_client" => Event::ClientDisconnected(self.decode_request_id(fields, 0)?),
            "reminder" => match TimerKey::decode(fields.unsigned(0)?) {
                Some(key) => Event::TimerFired(key),
                None => return Ok(None),
            },
            "health_result" => self.decode_health_checked(fields)?,
            "peer_data" => Event::GossipReceived {
                from: fields.unsigned_32(0)?,
                payload: fields.bytes(1)?,
            },
            other => return Err(WireError::UnknownMessage(other.to_owned())),
        };
        Ok(Some(event))
    }

    fn decode_request_id(&mut self, fields: &Fields, index: usize) -> Result<RequestId, WireError> {
        let name = fields.text(index)?;
        Ok(self.request_id(name))
    }

    fn decode_endpoint_id(
        &mut self,
        fields: &Fields,
        index: usize,
    ) -> Result<EndpointId, WireError> {
        let name = fields.text(index)?;
        Ok(self.endpoint_id(name))
    }

    fn decode_stream_started(&mut self, fields: &Fields) -> Result<Event, WireError> {
        Ok(Event::StreamStarted {
            id: self.decode_request_id(fields, 0)?,
            attempt: fields.unsigned_32(1)?,
            endpoint: self.decode_endpoint_id(fields, 2)?,
            elapsed: fields.optional_int(3)?.unwrap_or(0),
        })
    }

    fn decode_slot_reservation(&mut self, fields: &Fields) -> Result<Event, WireError> {
        Ok(Event::SlotReservationCompleted {
            id: self.decode_request_id(fields, 0)?,
            granted: match fields.int(1)? {
                1 => true,
                2 => false,
                _ => return Err(fields.unexpected_value(1, "1 or 2")),
            },
            endpoint: self.decode_endpoint_id(fields, 4)?,
        })
    }

    fn decode_attempt_ended(&mut self, fields: &Fields) -> Result<Event, WireError> {
        let id = self.decode_request_id(fields, 0)?;
        let detail = fields.unsigned(1)?;
        Ok(Event::AttemptEnded {
            id,
            endpoint: self.decode_endpoint_id(fields, 2)?,
            attempt: fields.unsigned_32(3)?,
            outcome: decode_outcome(fields, 4, detail)?,
            client_done: fields.flag(5)?,
            elapsed: fields.optional_int(6)?.unwrap_or(0),
            load: self.decode_load(fields, 7)?,
        })
    }

    fn decode_health_checked(&mut self, fields: &Fields) -> Result<Event, WireError> {
        const NO_DETAIL: u64 = 0;
        Ok(Event::HealthChecked {
            elapsed: fields.optional_int(0)?.unwrap_or(0),
            outcome: decode_outcome(fields, 1, NO_DETAIL)?,
            endpoint: self.decode_endpoint_id(fields, 2)?,
            load: self.decode_load(fields, 3)?,
        })
    }

    fn decode_request(&mut self, fields: &Fields) -> Result<RequestSpec, WireError> {
        let class = fields.text(1)?;
        let class = self
            .site
            .classes
            .iter()
            .position(|known| known.name == class);
        let class = class.ok_or_else(|| fields.unexpected_value(1, "a class of the settings"))?;
        if let Some(tenant) = fields.optional_text(2)? {
            let is_known = self.site.tenants.iter().any(|known| known.name == tenant);
            if !is_known {
                return Err(fields.unexpected_value(2, "a tenant of the settings"));
            }
        }
        Ok(RequestSpec {
            id: self.decode_request_id(fields, 0)?,
            class: ClassId(class),
            session: fields
                .optional_text(3)?
                .map(|name| SessionId(stable_hash(name))),
            deadline: fields.int(4)?,
            expected_duration: fields.optional_int(5)?,
            shared_prefix: fields
                .optional_text(6)?
                .map(|name| PrefixId(stable_hash(name))),
            prompt_tokens: fields.unsigned(7)?,
            shared_prefix_tokens: fields.unsigned(8)?,
            max_tokens: fields.unsigned(9)?,
            is_retry: fields.flag(10)?,
            is_resumed: fields.flag(11)?,
            client_can_resume: true,
            allowed_kinds: None,
        })
    }

    fn decode_endpoint_update(
        &mut self,
        fields: &Fields,
        catalogs: &Catalogs,
    ) -> Result<EndpointUpdate, WireError> {
        let update = match fields.text(0)? {
            "patch" => EndpointUpdate::Delta,
            "whole" => EndpointUpdate::Snapshot,
            "stale_copy" => EndpointUpdate::Restored,
            "broken" => return Ok(EndpointUpdate::PollFailed),
            _ => return Err(fields.unexpected_value(0, "patch, whole, stale_copy or broken")),
        };
        let entries = catalogs
            .get(&fields.unsigned(2)?)
            .ok_or_else(|| fields.unexpected_value(2, "the number of a catalog"))?;
        let mut specs = Vec::with_capacity(entries.len());
        for entry in entries {
            specs.push(self.resolve_entry(entry)?);
        }
        Ok(update(specs))
    }

    fn resolve_entry(&mut self, entry: &CatalogEntry) -> Result<EndpointSpec, WireError> {
        Ok(EndpointSpec {
            id: self.endpoint_id(&entry.endpoint),
            started_at: entry.started_at,
            kind: KindId(position(&self.site.kinds, &entry.kind, "kind", entry)?),
            state: entry.state,
            cell: CellId(entry.cell),
            weight: entry.weight,
            zone: ZoneId(position(&self.site.zones, &entry.zone, "zone", entry)?),
        })
    }

    fn decode_load(&self, fields: &Fields, index: usize) -> Result<Option<LoadReport>, WireError> {
        const EXPECTED: &str = "an object whose values are numbers or null";
        let Some(value) = fields.optional(index) else {
            return Ok(None);
        };
        let columns = value
            .as_object()
            .ok_or_else(|| fields.unexpected_value(index, EXPECTED))?;
        let number = |name: &str| match columns.get(name) {
            None | Some(Value::Null) => Ok(None),
            Some(value) => match value.as_f64() {
                Some(number) => Ok(Some(number)),
                None => Err(fields.unexpected_value(index, EXPECTED)),
            },
        };
        let number_in = |name: &Option<String>| name.as_deref().map_or(Ok(None), number);
        Ok(Some(LoadReport {
            in_flight: number("inflight")?,
            queued: number("queue")?,
            slot_utilization: number("util")?,
            memory_utilization: number_in(&self.site.report.memory_column)?,
            pending_kilotokens: number_in(&self.site.report.pending_column)?,
        }))
    }
}

/// The position of a name in a list of the settings.
fn position(
    names: &[String],
    name: &str,
    category: &'static str,
    entry: &CatalogEntry,
) -> Result<usize, WireError> {
    let position = names.iter().position(|known| known == name);
    position.ok_or_else(|| WireError::UnknownName {
        entry: entry.endpoint.clone(),
        category,
        name: name.to_owned(),
    })
}
