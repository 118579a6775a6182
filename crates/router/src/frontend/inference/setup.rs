//! The operator's file that sets up the inference API. Where the code uses another name for a key
//! of the file, a serde attribute gives the key. Errors name the key as it is in the file.

mod batches;
mod limits;

use std::net::SocketAddr;

use cranetack_inference_api::{ApiEndpoint, Model, ModelCatalog, PerApiEndpoint};
use cranetack_routing_policy::Role;
use cranetack_settings::SiteSettings;
use serde::Deserialize;

pub use batches::BatchSetup;
pub use limits::Limits;

/// Maximum number of kinds of endpoint in a set, which has one bit for each kind.
const MAX_KINDS: usize = u64::BITS as usize;

/// The contents of the operator's file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Setup {
    /// The address at which the router listens for clients.
    pub listen: SocketAddr,
    /// How chat is served.
    pub chat: ApiEndpointSetup,
    /// How embeddings are served.
    pub embeddings: ApiEndpointSetup,
    /// How reranking is served.
    pub rerank: ApiEndpointSetup,
    /// The limits of requests and responses.
    #[serde(default)]
    pub limits: Limits,
    /// How batches are scheduled.
    #[serde(default)]
    pub batches: BatchSetup,
    /// The models. If none is listed, any name of a model is accepted, and requests have the class
    /// of their API endpoint.
    #[serde(default)]
    pub models: Vec<ModelSetup>,
}

/// How one API endpoint is served.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApiEndpointSetup {
    /// The name, in the settings, of the class of its requests.
    pub class: String,
    /// Time to first byte in milliseconds for requests whose client gives none.
    pub deadline_ms: u32,
    /// Maximum number of tokens of a batch's slice until enough durations of slices are known.
    #[serde(rename = "slice_tokens", default = "default_initial_slice_tokens")]
    pub initial_slice_tokens: u64,
}

fn default_initial_slice_tokens() -> u64 {
    2_048
}

/// A model, and the classes of the requests for it.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSetup {
    /// The name by which endpoints know the model.
    pub name: String,
    /// Further names that clients may use.
    #[serde(default)]
    pub aliases: Vec<String>,
    /// The class of its chat requests, if it serves chat.
    pub chat: Option<String>,
    /// The class of its embeddings requests, if it serves embeddings.
    pub embeddings: Option<String>,
    /// The class of its rerank requests, if it serves rerank.
    pub rerank: Option<String>,
    /// The kinds of endpoint that have the model; empty for all kinds.
    #[serde(default)]
    pub kinds: Vec<String>,
}

impl ModelSetup {
    fn class(&self, endpoint: ApiEndpoint) -> Option<&str> {
        match endpoint {
            ApiEndpoint::Chat => self.chat.as_deref(),
            ApiEndpoint::Embeddings => self.embeddings.as_deref(),
            ApiEndpoint::Rerank => self.rerank.as_deref(),
        }
    }
}

impl Setup {
    /// Returns how an API endpoint is served.
    pub fn endpoint(&self, endpoint: ApiEndpoint) -> &ApiEndpointSetup {
        match endpoint {
            ApiEndpoint::Chat => &self.chat,
            ApiEndpoint::Embeddings => &self.embeddings,
            ApiEndpoint::Rerank => &self.rerank,
        }
    }

    /// Lowers the limits so that all bodies together, and what decoding one of them holds, take at
    /// most `memory_bytes`.
    pub(crate) fn within_memory(mut self, memory_bytes: usize) -> Setup {
        self.limits = self.limits.within_memory(memory_bytes);
        self
    }

    /// Builds the catalog of models, which refers to classes by their index in the settings. An
    /// error names the key.
    pub fn catalog(&self, site: &SiteSettings) -> Result<ModelCatalog, String> {
        let mut models = Vec::new();
        for (index, model) in self.models.iter().enumerate() {
            let class = |endpoint: ApiEndpoint| {
                let key = format!("models[{index}].{}", endpoint.name());
                let name = model.class(endpoint);
                name.map(|name| class_index(site, &key, name)).transpose()
            };
            let classes = PerApiEndpoint {
                chat: class(ApiEndpoint::Chat)?,
                embeddings: class(ApiEndpoint::Embeddings)?,
                rerank: class(ApiEndpoint::Rerank)?,
            };
            let kinds = kind_set(site, &model.kinds);
            models.push(Model {
                name: model.name.clone(),
                aliases: model.aliases.clone(),
                classes,
                kinds: kinds.map_err(|error| format!("models[{index}].kinds: {error}"))?,
            });
        }
        ModelCatalog::new(models).map_err(|error| error.to_string())
    }

    /// Checks the values, also against the site's settings. An error is one line that names the
    /// key.
    pub fn check(&self, site: &SiteSettings) -> Result<(), String> {
        for endpoint in ApiEndpoint::ALL {
            let key = endpoint.name();
            let setup = self.endpoint(endpoint);
            class_index(site, &format!("{key}.class"), &setup.class)?;
            if setup.deadline_ms == 0 {
                return Err(format!("{key}.deadline_ms: must be above 0"));
            }
            if setup.initial_slice_tokens == 0 {
                return Err(format!("{key}.slice_tokens: must be above 0"));
            }
        }
        self.limits.check()?;
        self.batches.check()?;
        self.catalog(site).map(drop)
    }
}

fn class_index(site: &SiteSettings, key: &str, name: &str) -> Result<usize, String> {
    match site.classes.iter().position(|class| class.name == name) {
        Some(index) => Ok(index),
        None => Err(format!("{key}: the settings have no class {name:?}")),
    }
}

/// Returns a set of kinds of endpoint with one bit for each, or `None` for all kinds if no kind is
/// named. Fails if the kinds together cannot prefill or cannot decode.
fn kind_set(site: &SiteSettings, names: &[String]) -> Result<Option<u64>, String> {
    if names.is_empty() {
        return Ok(None);
    }
    let settings = site.policy_settings().map_err(|error| error.to_string())?;
    let mut kinds = 0;
    let mut can_prefill = false;
    let mut can_decode = false;
    for name in names {
        let position = site.kinds.iter().position(|kind| kind == name);
        let Some(kind) = position.filter(|kind| *kind < MAX_KINDS) else {
            return Err(format!("the settings have no kind {name:?}"));
        };
        kinds |= 1 << kind;
        let role = settings.kinds.get(kind).and_then(|kind| kind.role);
        let role = role.unwrap_or(Role::Mixed);
        can_prefill |= role != Role::Decode;
        can_decode |= role != Role::Prefill;
    }
    can_prefill |= can_decode && settings.decode_can_prefill;
    if !can_prefill {
        return Err("none of these kinds can prefill".to_owned());
    }
    if !can_decode {
        return Err("none of these kinds can decode".to_owned());
    }
    Ok(Some(kinds))
}

#[cfg(test)]
mod tests;
