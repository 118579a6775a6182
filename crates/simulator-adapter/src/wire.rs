//! Batches, events and actions on the wire, and the instances that they are for.

use std::collections::{BTreeMap, HashMap};
use std::panic::{catch_unwind, AssertUnwindSafe};

use cranetack_routing_policy::{
    Action, CellId, ClassId, ConnectFailure, EndpointId, EndpointSpec, EndpointState,
    EndpointUpdate, Event, KindId, LoadReport, Outcome, Policy, PrefixId, RejectReason, RequestId,
    RequestSpec, ResetCause, SessionId, TimerKey, ZoneId,
};
use cranetack_settings::SiteSettings;
use serde::Deserialize;
use serde_json::{json, Value};

#[derive(Deserialize)]
struct Batch {
    at_time_us: i64,
    parts: Vec<Part>,
}

#[derive(Deserialize)]
struct Part {
    dispatcher_id: u64,
    inbox: Vec<Vec<Value>>,
}

/// Everything that lives in this process.
#[derive(Default)]
pub struct Process {
    instances: BTreeMap<u64, Instance>,
    catalogs: BTreeMap<u64, Vec<Listed>>,
}

/// A line of a catalog, its names as yet unresolved.
#[derive(Clone)]
struct Listed {
    host: String,
    started_at: Option<i64>,
    kind: String,
    state: EndpointState,
    cell: i64,
    weight: f64,
    zone: String,
}

/// Words of the wire and their numbers.
#[derive(Default)]
struct Names {
    ids: HashMap<String, u32>,
    words: Vec<String>,
}

struct Instance {
    policy: Policy,
    site: SiteSettings,
    hosts: HashMap<u64, String>,
    requests: Names,
}

impl Names {
    fn id(&mut self, word: &str) -> u32 {
        if let Some(id) = self.ids.get(word) {
            return *id;
        }
        let id = self.words.len() as u32;
        self.ids.insert(word.to_owned(), id);
        self.words.push(word.to_owned());
        id
    }

    fn word(&self, id: u32) -> &str {
        self.words.get(id as usize).map_or("", String::as_str)
    }
}

/// The values of one message behind its name.
struct Fields<'a> {
    name: &'a str,
    values: &'a [Value],
}

impl<'a> Fields<'a> {
    fn wrong(&self, index: usize, wanted: &str) -> String {
        let got = self.values.get(index).unwrap_or(&Value::Null);
        let got: String = got.to_string().chars().take(60).collect();
        format!(
            "message {:?}, value {}: wanted {wanted}, got {got}",
            self.name,
            index + 1
        )
    }

    fn opt(&self, index: usize) -> Option<&'a Value> {
        self.values.get(index).filter(|v| !v.is_null())
    }

    fn text(&self, index: usize) -> Result<&'a str, String> {
        self.opt(index)
            .and_then(Value::as_str)
            .ok_or_else(|| self.wrong(index, "text"))
    }

    /// Text that may be absent; 0 stands for none too.
    fn opt_text(&self, index: usize) -> Result<Option<&'a str>, String> {
        match self.opt(index) {
            None => Ok(None),
            Some(v) if v.as_u64() == Some(0) => Ok(None),
            Some(v) => v
                .as_str()
                .map(Some)
                .ok_or_else(|| self.wrong(index, "text or nothing")),
        }
    }

    fn int(&self, index: usize) -> Result<i64, String> {
        self.opt_int(index)?
            .ok_or_else(|| self.wrong(index, "a whole number"))
    }

    fn opt_int(&self, index: usize) -> Result<Option<i64>, String> {
        match self.opt(index) {
            None => Ok(None),
            Some(v) => whole(v)
                .map(Some)
                .ok_or_else(|| self.wrong(index, "a whole number")),
        }
    }

    fn count(&self, index: usize) -> Result<u64, String> {
        let value = self.opt_int(index)?.unwrap_or(0);
        u64::try_from(value).map_err(|_| self.wrong(index, "a number of 0 or more"))
    }

    fn small(&self, index: usize) -> Result<u32, String> {
        u32::try_from(self.int(index)?).map_err(|_| self.wrong(index, "a small number"))
    }

    fn flag(&self, index: usize) -> Result<bool, String> {
        match self.opt(index) {
            None => Ok(false),
            Some(v) => v
                .as_bool()
                .ok_or_else(|| self.wrong(index, "true or false")),
        }
    }
}

/// A number for a word that is the same in every process: FNV-1a.
fn stable(word: &str) -> u64 {
    word.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

fn whole(value: &Value) -> Option<i64> {
    value.as_i64().or_else(|| {
        value
            .as_f64()
            .filter(|f| f.fract() == 0.0 && f.abs() < 9e15)
            .map(|f| f as i64)
    })
}

impl Process {
    /// Answers one line with one line.
    pub fn batch(&mut self, line: &[u8]) -> Result<String, String> {
        let batch: Batch = serde_json::from_slice(line).map_err(|e| format!("not a batch: {e}"))?;
        let mut replies = Vec::new();
        for part in batch.parts {
            let id = part.dispatcher_id;
            let mut decisions = Vec::new();
            for (index, message) in part.inbox.iter().enumerate() {
                self.message(batch.at_time_us, id, message, &mut decisions)
                    .map_err(|e| {
                        format!("dispatcher {id}, message {} of its inbox: {e}", index + 1)
                    })?;
            }
            if !decisions.is_empty() {
                replies.push(json!({"dispatcher_id": id, "decisions": decisions}));
            }
        }
        Ok(format!("{}\n", json!({ "parts": replies })))
    }

    fn message(
        &mut self,
        now: i64,
        id: u64,
        message: &[Value],
        out: &mut Vec<Value>,
    ) -> Result<(), String> {
        let name = message
            .first()
            .and_then(Value::as_str)
            .ok_or("a message must begin with its name")?;
        let fields = Fields {
            name,
            values: &message[1..],
        };
        match name {
            "attach" => {
                self.instances.insert(id, Instance::attach(now, &fields)?);
                return Ok(());
            }
            "killed" => {
                self.instances.remove(&id);
                return Ok(());
            }
            "catalog" => {
                self.catalogs.insert(fields.count(0)?, catalog(&fields)?);
                return Ok(());
            }
            _ => {}
        }
        let catalogs = &self.catalogs;
        let instance = self
            .instances
            .get_mut(&id)
            .ok_or_else(|| format!("{name:?} before any \"attach\""))?;
        if name == "reminder" && TimerKey::decode(fields.count(0)?).is_none() {
            return Ok(());
        }
        let event = instance.event(&fields, catalogs)?;
        instance.decide(now, event, out);
        Ok(())
    }
}

fn catalog(fields: &Fields) -> Result<Vec<Listed>, String> {
    let lines = fields
        .opt(1)
        .and_then(Value::as_array)
        .ok_or_else(|| fields.wrong(1, "a list of entries"))?;
    lines.iter().map(listed).collect()
}

fn listed(line: &Value) -> Result<Listed, String> {
    let values = line
        .as_array()
        .ok_or("an entry of a catalog must be an array")?;
    let fields = Fields {
        name: "catalog entry",
        values,
    };
    let weight = match fields.opt(5) {
        None => 1.0,
        Some(v) => v.as_f64().ok_or_else(|| fields.wrong(5, "a number"))?,
    };
    Ok(Listed {
        host: fields.text(0)?.to_owned(),
        started_at: fields.opt_int(1)?.filter(|at| *at != 0),
        kind: fields.text(2)?.to_owned(),
        state: match fields.text(3)? {
            "U" => EndpointState::Active,
            "L" => EndpointState::Draining,
            "D" => EndpointState::Removed,
            _ => return Err(fields.wrong(3, "U, L or D")),
        },
        cell: fields.opt_int(4)?.unwrap_or(0),
        weight,
        zone: fields.text(6)?.to_owned(),
    })
}

/// Decodes an outcome; `info` is the number beside it, whose meaning depends on the outcome.
fn outcome(fields: &Fields, index: usize, info: u64) -> Result<Outcome, String> {
    Ok(match (fields.text(index)?, info) {
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
        _ => return Err(fields.wrong(index, "an outcome")),
    })
}

fn bytes(fields: &Fields, index: usize) -> Result<Vec<u8>, String> {
    let text = fields.text(index)?;
    let pair = |i: usize| {
        text.get(i..i + 2)
            .and_then(|p| u8::from_str_radix(p, 16).ok())
    };
    let all: Option<Vec<u8>> = (0..text.len()).step_by(2).map(pair).collect();
    all.ok_or_else(|| fields.wrong(index, "hex digits"))
}

impl Instance {
    fn attach(now: i64, fields: &Fields) -> Result<Instance, String> {
        let seed = fields
            .opt(0)
            .and_then(|v| v.as_u64().or(v.as_i64().map(|i| i as u64)));
        let seed = seed.ok_or_else(|| fields.wrong(0, "a whole number"))?;
        let site = fields
            .opt(1)
            .cloned()
            .ok_or_else(|| fields.wrong(1, "the settings"))?;
        let mut site: SiteSettings =
            serde_json::from_value(site).map_err(|e| format!("settings: {e}"))?;
        site.name_columns();
        Ok(Instance {
            policy: Policy::new(site.policy_settings()?, seed, now),
            site,
            hosts: HashMap::new(),
            requests: Names::default(),
        })
    }

    /// Hands an event to the module; a panic there is told on the wire.
    fn decide(&mut self, now: i64, event: Event, out: &mut Vec<Value>) {
        let mut actions = Vec::new();
        let handled = catch_unwind(AssertUnwindSafe(|| {
            self.policy.handle(now, event, &mut actions)
        }));
        out.extend(actions.iter().map(|a| self.action(a)));
        if let Err(panic) = handled {
            let text = panic.downcast_ref::<String>().map(String::as_str);
            let text = text
                .or_else(|| panic.downcast_ref::<&str>().copied())
                .unwrap_or("panic");
            out.push(json!(["die", text]));
        }
    }

    fn request(&mut self, fields: &Fields, index: usize) -> Result<RequestId, String> {
        Ok(RequestId(self.requests.id(fields.text(index)?)))
    }

    fn host_id(&mut self, word: &str) -> EndpointId {
        let id = stable(word);
        self.hosts.entry(id).or_insert_with(|| word.to_owned());
        EndpointId(id)
    }

    fn host(&mut self, fields: &Fields, index: usize) -> Result<EndpointId, String> {
        Ok(self.host_id(fields.text(index)?))
    }

    fn event(
        &mut self,
        f: &Fields,
        catalogs: &BTreeMap<u64, Vec<Listed>>,
    ) -> Result<Event, String> {
        Ok(match f.name {
            "directory_update" => self.members(f, catalogs)?,
            "ask" => Event::RequestArrived(self.ask(f)?),
            "established" => Event::StreamStarted {
                id: self.request(f, 0)?,
                attempt: f.small(1)?,
                endpoint: self.host(f, 2)?,
                elapsed: f.opt_int(3)?.unwrap_or(0),
            },
            "answer_ahead" => Event::SlotReservationAnswered {
                id: self.request(f, 0)?,
                granted: match f.int(1)? {
                    1 => true,
                    2 => false,
                    _ => return Err(f.wrong(1, "1 or 2")),
                },
                endpoint: self.host(f, 4)?,
            },
            "result" => {
                let id = self.request(f, 0)?;
                let info = f.count(1)?;
                Event::AttemptEnded {
                    id,
                    endpoint: self.host(f, 2)?,
                    attempt: f.small(3)?,
                    outcome: outcome(f, 4, info)?,
                    client_done: f.flag(5)?,
                    elapsed: f.opt_int(6)?.unwrap_or(0),
                    load: self.load(f, 7)?,
                }
            }
            "timed_out_client" => Event::ClientDisconnected(self.request(f, 0)?),
            "reminder" => Event::TimerFired(
                TimerKey::decode(f.count(0)?).ok_or_else(|| f.wrong(0, "a timer key"))?,
            ),
            "health_result" => Event::HealthChecked {
                elapsed: f.opt_int(0)?.unwrap_or(0),
                outcome: outcome(f, 1, 0)?,
                endpoint: self.host(f, 2)?,
                load: self.load(f, 3)?,
            },
            "peer_data" => Event::GossipReceived {
                from: f.small(0)?,
                payload: bytes(f, 1)?,
            },
            other => return Err(format!("unknown message {other:?}")),
        })
    }

    fn ask(&mut self, f: &Fields) -> Result<RequestSpec, String> {
        let class = f.text(1)?;
        let class = self.site.classes.iter().position(|c| c.name == class);
        let class = class.ok_or_else(|| f.wrong(1, "a class of the settings"))?;
        if let Some(tenant) = f.opt_text(2)? {
            let known = self.site.tenants.iter().any(|t| t.name == tenant);
            if !known {
                return Err(f.wrong(2, "a tenant of the settings"));
            }
        }
        Ok(RequestSpec {
            id: self.request(f, 0)?,
            class: ClassId(class),
            session: f.opt_text(3)?.map(|s| SessionId(stable(s))),
            deadline: f.int(4)?,
            expected_duration: f.opt_int(5)?,
            shared_prefix: f.opt_text(6)?.map(|p| PrefixId(stable(p))),
            prompt_tokens: f.count(7)?,
            shared_prefix_tokens: f.count(8)?,
            max_tokens: f.count(9)?,
            is_retry: f.flag(10)?,
            is_resumed: f.flag(11)?,
            allowed_kinds: None,
        })
    }

    fn members(
        &mut self,
        f: &Fields,
        catalogs: &BTreeMap<u64, Vec<Listed>>,
    ) -> Result<Event, String> {
        let update = match f.text(0)? {
            "patch" => EndpointUpdate::Delta,
            "whole" => EndpointUpdate::Snapshot,
            "stale_copy" => EndpointUpdate::Restored,
            "broken" => return Ok(Event::EndpointsUpdated(EndpointUpdate::PollFailed)),
            _ => return Err(f.wrong(0, "patch, whole, stale_copy or broken")),
        };
        let lines = catalogs
            .get(&f.count(2)?)
            .ok_or_else(|| f.wrong(2, "the number of a catalog"))?;
        let entries = lines
            .iter()
            .map(|line| self.member(line))
            .collect::<Result<_, _>>()?;
        Ok(Event::EndpointsUpdated(update(entries)))
    }

    fn member(&mut self, line: &Listed) -> Result<EndpointSpec, String> {
        let find = |names: &[String], name: &str, what: &str| {
            let at = names.iter().position(|n| n == name);
            at.ok_or_else(|| format!("catalog entry {:?}: unknown {what} {name:?}", line.host))
        };
        Ok(EndpointSpec {
            id: self.host_id(&line.host),
            started_at: line.started_at,
            kind: KindId(find(&self.site.kinds, &line.kind, "kind")?),
            state: line.state,
            cell: CellId(line.cell),
            weight: line.weight,
            zone: ZoneId(find(&self.site.zones, &line.zone, "zone")?),
        })
    }

    fn load(&self, f: &Fields, index: usize) -> Result<Option<LoadReport>, String> {
        let Some(value) = f.opt(index) else {
            return Ok(None);
        };
        let pairs = value
            .as_object()
            .ok_or_else(|| f.wrong(index, "an object of names and numbers"))?;
        let figure = |name: &str| match pairs.get(name) {
            None | Some(Value::Null) => Ok(None),
            Some(v) => v
                .as_f64()
                .map(Some)
                .ok_or_else(|| f.wrong(index, "an object of names and numbers")),
        };
        let column = |name: &Option<String>| name.as_deref().map_or(Ok(None), figure);
        Ok(Some(LoadReport {
            in_flight: figure("inflight")?,
            queued: figure("queue")?,
            slot_utilization: figure("util")?,
            memory_utilization: column(&self.site.report.memory_column)?,
            pending_kilotokens: column(&self.site.report.pending_column)?,
        }))
    }

    fn action(&self, action: &Action) -> Value {
        let request = |id: &RequestId| self.requests.word(id.0);
        let host = |id: &EndpointId| self.hosts.get(&id.0).map_or("", String::as_str);
        match action {
            Action::Send {
                id,
                endpoint: h,
                expires_at,
                ..
            } => json!(["route", request(id), host(h), expires_at]),
            Action::ReserveSlot { id, endpoint: h } => json!(["earmark", request(id), host(h)]),
            Action::ReleaseState(id) => json!(["free_state", request(id)]),
            Action::CancelAttempt { id, attempt } => json!(["abort_attempt", request(id), attempt]),
            Action::Reject { id, retry_after } => json!(["shed", request(id), retry_after]),
            Action::Fail(id) => json!(["lose", request(id)]),
            Action::Migrate(id) => json!(["bounce", request(id)]),
            Action::SetTimer { at, key } => json!(["sleep", at, key.encode()]),
            Action::HealthCheck(h) => json!(["touch", host(h)]),
            Action::CloseIdle(h) => json!(["free_links", host(h)]),
            Action::Gossip { to, payload } => {
                let hex: String = payload.iter().map(|b| format!("{b:02x}")).collect();
                json!(["publish", to.map_or(-1, i64::from), hex])
            }
            Action::SubscribeEndpoints(want) => json!(["stream_changes", want]),
            Action::FetchEndpoints => json!(["fetch"]),
            Action::Log(line) => json!(["print", line]),
        }
    }
}
