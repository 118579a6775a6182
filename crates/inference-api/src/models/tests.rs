//! Tests of the model catalog.

use super::*;

const CHAT_ONLY: PerApiEndpoint<Option<usize>> = PerApiEndpoint {
    chat: Some(0),
    embeddings: None,
    rerank: None,
};

fn model(name: &str, aliases: &[&str], classes: PerApiEndpoint<Option<usize>>) -> Model {
    Model {
        name: name.into(),
        aliases: aliases.iter().map(|a| (*a).to_owned()).collect(),
        classes,
        kinds: None,
    }
}

#[test]
fn models_are_resolved_by_name_and_alias_and_unknown_names_are_not_found() {
    let all = vec![
        model("parts-chat", &["gpt"], CHAT_ONLY),
        model(
            "parts-embed",
            &[],
            PerApiEndpoint {
                chat: None,
                embeddings: Some(1),
                rerank: Some(2),
            },
        ),
    ];
    let catalog = ModelCatalog::new(all).unwrap();
    let found = ResolvedModel {
        name: "parts-chat",
        class: Some(0),
        kinds: None,
    };
    assert_eq!(catalog.resolve("gpt", ApiEndpoint::Chat), Ok(found));
    for (name, endpoint) in [("gpt", ApiEndpoint::Rerank), ("none", ApiEndpoint::Chat)] {
        let error = catalog.resolve(name, endpoint).unwrap_err();
        assert_eq!((error.status, error.code), (404, "model_not_found"));
    }
    assert!(catalog
        .show("gpt")
        .unwrap()
        .contains("\"root\":\"parts-chat\""));
    assert_eq!(catalog.show("none").unwrap_err().status, 404);
    let any = ResolvedModel {
        name: "any",
        class: None,
        kinds: None,
    };
    assert_eq!(
        ModelCatalog::default().resolve("any", ApiEndpoint::Chat),
        Ok(any)
    );
}

#[test]
fn an_invalid_catalog_is_rejected_with_an_error_that_names_the_key() {
    for (models, message) in [
        (
            vec![model("a", &["b"], CHAT_ONLY), model("b", &[], CHAT_ONLY)],
            "models[1].name",
        ),
        (vec![model("a", &["a"], CHAT_ONLY)], "models[0].aliases"),
        (vec![model("", &[], CHAT_ONLY)], "models[0].name"),
        (
            vec![model("a", &[], PerApiEndpoint::default())],
            "models[0]: sets none of chat, embeddings and rerank",
        ),
    ] {
        let error = ModelCatalog::new(models).unwrap_err().to_string();
        assert!(error.starts_with(message), "{error}");
    }
}
