//! Tests of `models`.

use super::*;

fn model(name: &str, aliases: &[&str], classes: [Option<usize>; 3]) -> Model {
    Model {
        name: name.into(),
        aliases: aliases.iter().map(|a| (*a).to_owned()).collect(),
        classes,
        kinds: None,
    }
}

#[test]
fn names_and_aliases_find_their_model_and_others_are_not_found() {
    let all = vec![
        model("parts-chat", &["gpt"], [Some(0), None, None]),
        model("parts-embed", &[], [None, Some(1), Some(2)]),
    ];
    let catalogue = Catalogue::new(all).unwrap();
    let found = Resolved {
        name: "parts-chat",
        class: Some(0),
        kinds: None,
    };
    assert_eq!(catalogue.resolve("gpt", Endpoint::Chat), Ok(found));
    for (name, endpoint) in [("gpt", Endpoint::Rerank), ("none", Endpoint::Chat)] {
        let error = catalogue.resolve(name, endpoint).unwrap_err();
        assert_eq!((error.status, error.code), (404, "model_not_found"));
    }
    assert!(catalogue
        .show("gpt")
        .unwrap()
        .contains("\"root\":\"parts-chat\""));
    assert_eq!(catalogue.show("none").unwrap_err().status, 404);
    let any = Resolved {
        name: "any",
        class: None,
        kinds: None,
    };
    assert_eq!(Catalogue::default().resolve("any", Endpoint::Chat), Ok(any));
}

#[test]
fn a_catalogue_that_contradicts_itself_names_the_key() {
    let one = [Some(0), None, None];
    for (models, message) in [
        (
            vec![model("a", &["b"], one), model("b", &[], one)],
            "models[1].name",
        ),
        (vec![model("a", &["a"], one)], "models[0].aliases"),
        (vec![model("", &[], one)], "models[0].name"),
        (
            vec![model("a", &[], [None; 3])],
            "models[0]: serves no endpoint",
        ),
    ] {
        let error = Catalogue::new(models).unwrap_err();
        assert!(error.starts_with(message), "{error}");
    }
}
