//! The catalog of models: their names and aliases, and the class of the requests to each model at
//! each endpoint of the API.

use std::collections::HashSet;

use serde::Serialize;
use serde_json::json;

use crate::error::ApiError;

/// Maximum length of a model's name in bytes.
const MAX_NAME_BYTES: usize = 200;

/// An endpoint of the public API, as opposed to a model server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ApiEndpoint {
    /// Endpoint `/v1/chat/completions`.
    Chat,
    /// Endpoint `/v1/embeddings`.
    Embeddings,
    /// Endpoints `/v1/rerank` and `/v2/rerank`.
    Rerank,
}

impl ApiEndpoint {
    /// All endpoints of the API.
    pub const ALL: [ApiEndpoint; 3] = [
        ApiEndpoint::Chat,
        ApiEndpoint::Embeddings,
        ApiEndpoint::Rerank,
    ];

    /// Returns the name of the endpoint in the operator's file and in the list of models.
    pub fn name(self) -> &'static str {
        match self {
            ApiEndpoint::Chat => "chat",
            ApiEndpoint::Embeddings => "embeddings",
            ApiEndpoint::Rerank => "rerank",
        }
    }
}

/// A value for each endpoint of the API.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PerApiEndpoint<T> {
    /// Value for [`ApiEndpoint::Chat`].
    pub chat: T,
    /// Value for [`ApiEndpoint::Embeddings`].
    pub embeddings: T,
    /// Value for [`ApiEndpoint::Rerank`].
    pub rerank: T,
}

impl<T> PerApiEndpoint<T> {
    /// Returns the value for an endpoint of the API.
    pub fn get(&self, endpoint: ApiEndpoint) -> &T {
        match endpoint {
            ApiEndpoint::Chat => &self.chat,
            ApiEndpoint::Embeddings => &self.embeddings,
            ApiEndpoint::Rerank => &self.rerank,
        }
    }
}

/// A model of the catalog.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Model {
    /// Name by which the model servers know the model.
    pub name: String,
    /// Additional names that clients may use.
    pub aliases: Vec<String>,
    /// Index of the class of the requests at each endpoint of the API, or `None` if the endpoint
    /// does not serve the model.
    pub classes: PerApiEndpoint<Option<usize>>,
    /// Kinds of model servers that have the model, as a bit set. `None` stands for all kinds.
    pub kinds: Option<u64>,
}

impl Model {
    /// Returns the name of the model and then its aliases.
    fn names(&self) -> impl Iterator<Item = &String> {
        std::iter::once(&self.name).chain(&self.aliases)
    }

    fn serves(&self, endpoint: ApiEndpoint) -> bool {
        self.classes.get(endpoint).is_some()
    }
}

/// The catalog's data on the model that a request names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResolvedModel<'a> {
    /// Name by which the model servers know the model.
    pub name: &'a str,
    /// Index of the class of the request, or `None` if the catalog is empty.
    pub class: Option<usize>,
    /// Kinds of model servers that have the model, as a bit set. `None` stands for all kinds.
    pub kinds: Option<u64>,
}

/// Reason why a catalog is invalid. Each message begins with the key in the operator's file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CatalogError {
    /// A name is empty, too long, or contains a control character.
    #[error("{key}: {name:?} must have 1 to {MAX_NAME_BYTES} bytes and no control characters")]
    InvalidName {
        /// Key in the operator's file.
        key: String,
        /// Name in the operator's file.
        name: String,
    },
    /// A name is used more than once.
    #[error("{key}: the name {name:?} is used more than once")]
    DuplicateName {
        /// Key in the operator's file.
        key: String,
        /// Name in the operator's file.
        name: String,
    },
    /// No endpoint of the API serves a model.
    #[error("models[{index}]: sets none of chat, embeddings and rerank")]
    NoEndpoint {
        /// Index of the model in the operator's file.
        index: usize,
    },
}

/// A catalog of models. An empty catalog accepts any name.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ModelCatalog(Vec<Model>);

#[derive(Serialize)]
struct ModelObject<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
    endpoints: Vec<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    root: Option<&'a str>,
}

impl ModelCatalog {
    /// Creates a catalog. Returns an error if a name is invalid or used more than once, or if no
    /// endpoint of the API serves a model.
    pub fn new(models: Vec<Model>) -> Result<ModelCatalog, CatalogError> {
        let mut names = HashSet::new();
        for (index, model) in models.iter().enumerate() {
            check_name(&mut names, format!("models[{index}].name"), &model.name)?;
            for alias in &model.aliases {
                check_name(&mut names, format!("models[{index}].aliases"), alias)?;
            }
            if !ApiEndpoint::ALL.iter().any(|e| model.serves(*e)) {
                return Err(CatalogError::NoEndpoint { index });
            }
        }
        Ok(ModelCatalog(models))
    }

    /// Returns whether the catalog is empty, so that any name is accepted.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn find(&self, name: &str) -> Option<&Model> {
        self.0.iter().find(|m| m.names().any(|n| n == name))
    }

    /// Finds the model with this name or alias for an endpoint of the API.
    pub fn resolve<'a>(
        &'a self,
        name: &'a str,
        endpoint: ApiEndpoint,
    ) -> Result<ResolvedModel<'a>, ApiError> {
        if self.is_empty() {
            return Ok(ResolvedModel {
                name,
                class: None,
                kinds: None,
            });
        }
        let model = self.find(name).ok_or_else(|| unknown_model(name))?;
        if !model.serves(endpoint) {
            let message = format!("the model {name:?} does not serve {}", endpoint.name());
            return Err(model_not_found(message));
        }
        Ok(ResolvedModel {
            name: &model.name,
            class: *model.classes.get(endpoint),
            kinds: model.kinds,
        })
    }

    /// Encodes the response to `/v1/models`, which lists every name that a client may use.
    pub fn list(&self) -> String {
        let models = self.0.iter();
        let data: Vec<ModelObject> = models
            .flat_map(|model| model.names().map(|name| model_object(model, name)))
            .collect();
        json!({"object": "list", "data": data}).to_string()
    }

    /// Encodes the response to `/v1/models/{id}`.
    pub fn show(&self, name: &str) -> Result<String, ApiError> {
        let model = self.find(name).ok_or_else(|| unknown_model(name))?;
        Ok(serde_json::to_string(&model_object(model, name)).unwrap_or_default())
    }
}

fn check_name<'a>(
    names: &mut HashSet<&'a String>,
    key: String,
    name: &'a String,
) -> Result<(), CatalogError> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES || name.chars().any(char::is_control) {
        let name = name.clone();
        return Err(CatalogError::InvalidName { key, name });
    }
    if !names.insert(name) {
        let name = name.clone();
        return Err(CatalogError::DuplicateName { key, name });
    }
    Ok(())
}

fn unknown_model(name: &str) -> ApiError {
    model_not_found(format!("there is no model {name:?}"))
}

fn model_not_found(message: String) -> ApiError {
    ApiError::invalid_request(404, "model_not_found", Some("model"), message)
}

fn model_object<'a>(model: &'a Model, id: &'a str) -> ModelObject<'a> {
    let endpoints = ApiEndpoint::ALL.iter().filter(|e| model.serves(**e));
    ModelObject {
        id,
        object: "model",
        created: 0,
        owned_by: "cranetack",
        endpoints: endpoints.map(|e| e.name()).collect(),
        root: (id != model.name).then_some(&model.name),
    }
}

#[cfg(test)]
mod tests;
