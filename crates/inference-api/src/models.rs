//! The models by their names, and the class of request that each is served as at each endpoint.

use std::collections::HashSet;

use serde::Serialize;
use serde_json::json;

use crate::error::ApiError;

/// The most bytes of a model's name.
const MAX_NAME_BYTES: usize = 200;

/// An endpoint of the API.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ApiEndpoint {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/embeddings`
    Embeddings,
    /// `/v1/rerank`, `/v2/rerank`
    Rerank,
}

impl ApiEndpoint {
    /// All endpoints.
    pub const ALL: [ApiEndpoint; 3] = [
        ApiEndpoint::Chat,
        ApiEndpoint::Embeddings,
        ApiEndpoint::Rerank,
    ];

    /// Its name in the operator's file and in the list of models.
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
pub struct PerEndpoint<T> {
    /// For [`ApiEndpoint::Chat`].
    pub chat: T,
    /// For [`ApiEndpoint::Embeddings`].
    pub embeddings: T,
    /// For [`ApiEndpoint::Rerank`].
    pub rerank: T,
}

impl<T> PerEndpoint<T> {
    /// The value of an endpoint.
    pub fn get(&self, endpoint: ApiEndpoint) -> &T {
        match endpoint {
            ApiEndpoint::Chat => &self.chat,
            ApiEndpoint::Embeddings => &self.embeddings,
            ApiEndpoint::Rerank => &self.rerank,
        }
    }
}

/// A model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Model {
    /// The name that endpoints of the service know.
    pub name: String,
    /// Further names that clients may use.
    pub aliases: Vec<String>,
    /// The class that it is served as; none where it is not served.
    pub classes: PerEndpoint<Option<usize>>,
    /// The kinds of server that have it, a bit for each; absent for all kinds.
    pub kinds: Option<u64>,
}

impl Model {
    /// Its names: the one that endpoints know first.
    fn names(&self) -> impl Iterator<Item = &String> {
        std::iter::once(&self.name).chain(&self.aliases)
    }

    fn serves(&self, endpoint: ApiEndpoint) -> bool {
        self.classes.get(endpoint).is_some()
    }
}

/// A model that a request names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResolvedModel<'a> {
    /// The name that endpoints of the service know.
    pub name: &'a str,
    /// The class, if the catalog has the model.
    pub class: Option<usize>,
    /// The kinds of server that have it.
    pub kinds: Option<u64>,
}

/// Why models make no catalog. Each text names the key in the operator's file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CatalogError {
    /// A name is empty, too long or not printable.
    #[error("{key}: {name:?} is no name")]
    InvalidName {
        /// The key.
        key: String,
        /// The name.
        name: String,
    },
    /// A name is used twice.
    #[error("{key}: {name:?} is the name of another model")]
    DuplicateName {
        /// The key.
        key: String,
        /// The name.
        name: String,
    },
    /// A model has no class at any endpoint.
    #[error("models[{index}]: serves no endpoint")]
    NoEndpoint {
        /// The index of the model.
        index: usize,
    },
}

/// All models. An empty catalog accepts any name.
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
    /// A catalog, unless a name is invalid or used twice, or a model serves no endpoint.
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

    /// Whether any name is accepted.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn find(&self, name: &str) -> Option<&Model> {
        self.0.iter().find(|m| m.names().any(|n| n == name))
    }

    /// The model that a name stands for at an endpoint.
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

    /// The response to `/v1/models`: every name that a client may use.
    pub fn list(&self) -> String {
        let models = self.0.iter();
        let data: Vec<ModelObject> = models
            .flat_map(|model| model.names().map(|name| model_object(model, name)))
            .collect();
        json!({"object": "list", "data": data}).to_string()
    }

    /// The response to `/v1/models/{id}`.
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
    ApiError::invalid(404, "model_not_found", Some("model"), message)
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
