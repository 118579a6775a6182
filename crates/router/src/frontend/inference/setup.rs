//! The operator's file that sets the inference API up. Keys of the file that are not the code's
//! terms are renamed where they are decoded; errors name the keys.

mod batches;
mod limits;

use std::net::SocketAddr;

use cranetack_inference_api::{ApiEndpoint, Model, ModelCatalog, PerEndpoint};
use cranetack_routing_policy::Role;
use cranetack_settings::SiteSettings;
use serde::Deserialize;

pub use batches::BatchSetup;
pub use limits::Limits;

/// The most kinds of endpoint that a set of kinds can hold.
const MAX_KINDS: usize = u64::BITS as usize;

/// The file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Setup {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// How chat is served.
    pub chat: EndpointSetup,
    /// How embeddings are served.
    pub embeddings: EndpointSetup,
    /// How reranking is served.
    pub rerank: EndpointSetup,
    /// The limits of requests and responses.
    #[serde(default)]
    pub limits: Limits,
    /// How batches are scheduled.
    #[serde(default)]
    pub batches: BatchSetup,
    /// The models. If none is listed, any name is served by the endpoint's class.
    #[serde(default)]
    pub models: Vec<ModelSetup>,
}

/// How one endpoint of the API is served.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSetup {
    /// Its class in the settings.
    pub class: String,
    /// The time to first byte for clients that give none.
    pub deadline_ms: u32,
    /// The tokens of a batch's slices while too little is known of their times.
    #[serde(rename = "slice_tokens", default = "default_initial_slice_tokens")]
    pub initial_slice_tokens: u64,
}

fn default_initial_slice_tokens() -> u64 {
    2_048
}

/// A model, and the classes that it is served as.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSetup {
    /// The name that servers know.
    pub name: String,
    /// Further names that clients may use.
    #[serde(default)]
    pub aliases: Vec<String>,
    /// Its class for chat, if it serves that.
    pub chat: Option<String>,
    /// Its class for embeddings.
    pub embeddings: Option<String>,
    /// Its class for rerank.
    pub rerank: Option<String>,
    /// The kinds of server that have it; all if there are none here.
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
    /// How an endpoint of the API is served.
    pub fn endpoint(&self, endpoint: ApiEndpoint) -> &EndpointSetup {
        match endpoint {
            ApiEndpoint::Chat => &self.chat,
            ApiEndpoint::Embeddings => &self.embeddings,
            ApiEndpoint::Rerank => &self.rerank,
        }
    }

    /// The models, with the indices of their classes. An error names the key.
    pub fn catalog(&self, site: &SiteSettings) -> Result<ModelCatalog, String> {
        let mut models = Vec::new();
        for (index, model) in self.models.iter().enumerate() {
            let class = |endpoint: ApiEndpoint| {
                let key = format!("models[{index}].{}", endpoint.name());
                let name = model.class(endpoint);
                name.map(|name| class_index(site, &key, name)).transpose()
            };
            let classes = PerEndpoint {
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

    /// What is wrong with the values beside the settings, in one line that names the key.
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

/// Kinds of endpoint, a bit for each; absent for all kinds. Together they must be able to prefill
/// and to decode.
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
        return Err("none of them reads prompts".to_owned());
    }
    if !can_decode {
        return Err("none of them writes answers".to_owned());
    }
    Ok(Some(kinds))
}

#[cfg(test)]
mod tests;
