//! The operator's file of the second front.

use std::net::SocketAddr;
use std::time::Duration;

use cranetack_batch_scheduler::SchedulerConfig;
use cranetack_inference_api::{Bounds, Catalogue, Endpoint, Model};
use cranetack_routing_policy::Role;
use cranetack_settings::SiteSettings;
use serde::Deserialize;

/// The file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Setup {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// How chat is served.
    pub chat: Served,
    /// How embeddings are served.
    pub embeddings: Served,
    /// How reranking is served.
    pub rerank: Served,
    /// What requests and answers may hold.
    #[serde(default)]
    pub limits: Limits,
    /// How batches are served.
    #[serde(default)]
    pub batches: Batches,
    /// The models. Where none is named, any name is served by the endpoint's class.
    #[serde(default)]
    pub models: Vec<Named>,
}

/// How one kind of request is served.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Served {
    /// Its class in the settings.
    pub class: String,
    /// How long a client waits that does not say.
    pub deadline_ms: u32,
    /// Tokens of a batch's slices while nothing has been measured.
    #[serde(default = "default_slice")]
    pub slice_tokens: u64,
}

fn default_slice() -> u64 {
    2_048
}

/// What requests and answers may hold.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Bytes of one body, decoded.
    pub body_bytes: usize,
    /// Bytes of all bodies and answers in flight.
    pub held_bytes: usize,
    /// How long a request may take to arrive whole.
    pub body_wait_ms: u64,
    /// How long a client may read nothing of what waits for it.
    pub read_wait_ms: u64,
    /// Lists and objects within one another.
    pub depth: usize,
    /// Items of one list.
    pub items: usize,
    /// Bytes of one text.
    pub text_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        let Bounds { depth, text, items } = Bounds::default();
        let mib = 1024 * 1024;
        Limits {
            body_bytes: 16 * mib,
            held_bytes: 64 * mib,
            body_wait_ms: 10_000,
            read_wait_ms: 30_000,
            depth,
            items,
            text_bytes: text,
        }
    }
}

impl Limits {
    /// What is looked for before a body is decoded.
    pub fn bounds(&self) -> Bounds {
        Bounds {
            depth: self.depth,
            text: self.text_bytes,
            items: self.items,
        }
    }

    /// How long a request may take to arrive whole.
    pub fn body_wait(&self) -> Duration {
        Duration::from_millis(self.body_wait_ms)
    }

    /// How long a client may read nothing.
    pub fn read_wait(&self) -> Duration {
        Duration::from_millis(self.read_wait_ms)
    }

    fn check(&self) -> Result<(), String> {
        for (key, value) in [
            ("body_bytes", self.body_bytes as u64),
            ("body_wait_ms", self.body_wait_ms),
            ("read_wait_ms", self.read_wait_ms),
            ("depth", self.depth as u64),
            ("items", self.items as u64),
            ("text_bytes", self.text_bytes as u64),
        ] {
            if value == 0 {
                return Err(format!("limits.{key}: must be above 0"));
            }
        }
        // Places in a body are kept as 32 bits.
        if self.body_bytes > 1 << 30 {
            return Err("limits.body_bytes: must be at most 1073741824".to_owned());
        }
        if self.held_bytes < self.body_bytes {
            return Err(format!(
                "limits.held_bytes: must be at least limits.body_bytes, {}",
                self.body_bytes
            ));
        }
        if self.depth > 100 {
            return Err("limits.depth: must be at most 100".to_owned());
        }
        Ok(())
    }
}

/// How batches are served.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Batches {
    /// How long a slice may take.
    pub slice_target_ms: u32,
    /// The fewest tokens of a slice.
    pub least_tokens: u64,
    /// The most tokens of a slice.
    pub most_tokens: u64,
    /// Slices of all batches that may be out at once.
    pub at_once: usize,
    /// Tokens that each class and tenant gets in a round.
    pub round_tokens: u64,
    /// Repeats of slices, as a share of those that were served ...
    pub repeat_share: f64,
    /// ... and how many of them may be saved for later.
    pub repeat_most: f64,
    /// How often one slice is tried.
    pub tries: u32,
    /// Batches that may be open.
    pub open: usize,
}

impl Default for Batches {
    fn default() -> Self {
        let config = SchedulerConfig::default();
        Batches {
            slice_target_ms: u32::try_from(config.slice_target / 1_000).unwrap_or(u32::MAX),
            least_tokens: config.min_slice_tokens,
            most_tokens: config.max_slice_tokens,
            at_once: config.max_in_flight,
            round_tokens: config.quantum,
            repeat_share: config.retry_ratio,
            repeat_most: config.max_saved_retries,
            tries: config.max_attempts,
            open: config.max_open_batches,
        }
    }
}

impl Batches {
    /// In the engine's terms.
    pub fn settings(&self, max_retry_after: Duration) -> SchedulerConfig {
        SchedulerConfig {
            slice_target: i64::from(self.slice_target_ms) * 1_000,
            min_slice_tokens: self.least_tokens,
            max_slice_tokens: self.most_tokens,
            quantum: self.round_tokens,
            max_in_flight: self.at_once,
            retry_ratio: self.repeat_share,
            max_saved_retries: self.repeat_most,
            max_attempts: self.tries,
            max_open_batches: self.open,
            max_retry_after: i64::try_from(max_retry_after.as_micros()).unwrap_or(i64::MAX),
        }
    }

    fn check(&self) -> Result<(), String> {
        for (key, value) in [
            ("slice_target_ms", u64::from(self.slice_target_ms)),
            ("least_tokens", self.least_tokens),
            ("at_once", self.at_once as u64),
            ("round_tokens", self.round_tokens),
            ("tries", u64::from(self.tries)),
            ("open", self.open as u64),
        ] {
            if value == 0 {
                return Err(format!("batches.{key}: must be above 0"));
            }
        }
        if self.most_tokens < self.least_tokens {
            return Err(format!(
                "batches.most_tokens: must be at least least_tokens, {}",
                self.least_tokens
            ));
        }
        if !(0.0..=1.0).contains(&self.repeat_share) {
            return Err("batches.repeat_share: must be from 0 to 1".to_owned());
        }
        if !(0.0..=1e6).contains(&self.repeat_most) {
            return Err("batches.repeat_most: must be from 0 to 1000000".to_owned());
        }
        Ok(())
    }
}

/// A model, and what it is served as.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Named {
    /// The name that workers know.
    pub name: String,
    /// Further names.
    #[serde(default)]
    pub aliases: Vec<String>,
    /// Its class for chat, if it serves that.
    pub chat: Option<String>,
    /// Its class for embeddings.
    pub embeddings: Option<String>,
    /// Its class for rerank.
    pub rerank: Option<String>,
    /// The kinds of worker that have it; all where it does not say.
    #[serde(default)]
    pub kinds: Vec<String>,
}

/// Kinds of worker as bits. Together they must be able to read a prompt and to write its answer.
fn kinds(site: &SiteSettings, names: &[String]) -> Result<Option<u64>, String> {
    if names.is_empty() {
        return Ok(None);
    }
    let settings = site.policy_settings()?;
    let (mut bits, mut reads, mut writes) = (0, false, false);
    for name in names {
        let kind = site
            .kinds
            .iter()
            .position(|k| k == name)
            .filter(|kind| *kind < 64);
        let kind = kind.ok_or_else(|| format!("the settings have no kind {name:?}"))?;
        bits |= 1 << kind;
        let stage = settings
            .kinds
            .get(kind)
            .and_then(|k| k.role)
            .unwrap_or(Role::Mixed);
        reads |= stage != Role::Decode;
        writes |= stage != Role::Prefill;
    }
    match (reads || (writes && settings.decode_can_prefill), writes) {
        (true, true) => Ok(Some(bits)),
        (false, _) => Err("none of them reads prompts".to_owned()),
        (_, false) => Err("none of them writes answers".to_owned()),
    }
}

impl Setup {
    /// How requests to an endpoint are served.
    pub fn served(&self, endpoint: Endpoint) -> &Served {
        match endpoint {
            Endpoint::Chat => &self.chat,
            Endpoint::Embeddings => &self.embeddings,
            Endpoint::Rerank => &self.rerank,
        }
    }

    /// The models, by the numbers of their classes. The message names the key.
    pub fn catalogue(&self, site: &SiteSettings) -> Result<Catalogue, String> {
        let class =
            |key: String, name: &String| match site.classes.iter().position(|c| c.name == *name) {
                Some(class) => Ok(class),
                None => Err(format!("{key}: the settings have no class {name:?}")),
            };
        let mut models = Vec::new();
        for (at, named) in self.models.iter().enumerate() {
            let of = |endpoint: Endpoint| match endpoint {
                Endpoint::Chat => &named.chat,
                Endpoint::Embeddings => &named.embeddings,
                Endpoint::Rerank => &named.rerank,
            };
            let mut classes = [None; 3];
            for (slot, endpoint) in classes.iter_mut().zip(Endpoint::ALL) {
                let key = format!("models[{at}].{}", endpoint.name());
                *slot = of(endpoint)
                    .as_ref()
                    .map(|name| class(key, name))
                    .transpose()?;
            }
            let kinds =
                kinds(site, &named.kinds).map_err(|e| format!("models[{at}].kinds: {e}"))?;
            models.push(Model {
                name: named.name.clone(),
                aliases: named.aliases.clone(),
                classes,
                kinds,
            });
        }
        Catalogue::new(models)
    }

    /// What is wrong with the values beside the settings, in one line that names the key.
    pub fn check(&self, site: &SiteSettings) -> Result<(), String> {
        for endpoint in Endpoint::ALL {
            let (key, served) = (endpoint.name(), self.served(endpoint));
            if !site.classes.iter().any(|c| c.name == served.class) {
                return Err(format!(
                    "{key}.class: the settings have no class {:?}",
                    served.class
                ));
            }
            if served.deadline_ms == 0 {
                return Err(format!("{key}.deadline_ms: must be above 0"));
            }
            if served.slice_tokens == 0 {
                return Err(format!("{key}.slice_tokens: must be above 0"));
            }
        }
        self.limits.check()?;
        self.batches.check()?;
        self.catalogue(site).map(drop)
    }
}

#[cfg(test)]
mod tests;
