//! Requests that carry many items, cut into slices that are served one after another, and their answers put
//! together again. Guards against a rerank of hundreds of candidates that holds a server for as long as it
//! lasts: between two slices others get their turn, and at most one attempt is out all the while.

use std::cmp::Ordering;
use std::ops::Range;

use bytes::Bytes;
use serde_json::{json, Map, Value};

use super::Unreadable;

/// What a batch asks for: which of its keys hold the items and which of the answer's hold what became of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A vector for each input.
    Embeddings,
    /// A score for each document.
    Rerank,
}

impl Kind {
    fn items(self) -> &'static str {
        match self {
            Kind::Embeddings => "input",
            Kind::Rerank => "documents",
        }
    }

    fn results(self) -> &'static str {
        match self {
            Kind::Embeddings => "data",
            Kind::Rerank => "results",
        }
    }
}

/// A decoded batch.
#[derive(Debug, PartialEq)]
pub struct Batch {
    kind: Kind,
    /// The body without its items.
    rest: Map<String, Value>,
    items: Vec<Value>,
    /// Tokens of each item, and of what goes with every slice.
    tokens: Vec<u64>,
    common: u64,
    top: Option<usize>,
}

/// One token is taken to be four characters.
pub fn text_tokens(text: &str) -> u64 {
    (text.chars().count() as u64).div_ceil(4)
}

fn item_tokens(item: &Value) -> Option<u64> {
    match item {
        Value::String(text) => Some(text_tokens(text)),
        Value::Object(document) => document.get("text").and_then(Value::as_str).map(text_tokens),
        Value::Array(ids) if ids.iter().all(Value::is_u64) => Some(ids.len() as u64),
        _ => None,
    }
}

impl Batch {
    /// Decodes a body.
    pub fn decode(kind: Kind, body: &[u8]) -> Result<Batch, Unreadable> {
        let mut rest: Map<String, Value> = serde_json::from_slice(body)
            .map_err(|e| Unreadable::new(None, format!("not a JSON object: {e}")))?;
        let wrong = |param, text: &str| Err(Unreadable::new(Some(param), text.to_owned()));
        if !rest.get("model").is_some_and(Value::is_string) {
            return wrong("model", "must be the name of a model");
        }
        let query = rest.get("query").and_then(Value::as_str).map(text_tokens);
        if kind == Kind::Rerank && query.is_none() {
            return wrong("query", "must be a text");
        }
        let items = match rest.remove(kind.items()) {
            // One text, or one text as token ids, is a batch of one.
            Some(text @ Value::String(_)) if kind == Kind::Embeddings => vec![text],
            Some(Value::Array(ids))
                if kind == Kind::Embeddings && !ids.is_empty() && ids.iter().all(Value::is_u64) =>
            {
                vec![Value::Array(ids)]
            }
            Some(Value::Array(items)) if !items.is_empty() => items,
            _ => return wrong(kind.items(), "must be a list that is not empty"),
        };
        let Some(tokens) = items.iter().map(item_tokens).collect::<Option<Vec<u64>>>() else {
            return wrong(kind.items(), "each must be a text, or as the interface has it");
        };
        let top = match rest.get("top_n") {
            None | Some(Value::Null) => None,
            Some(n) => match n.as_u64().filter(|n| *n > 0) {
                Some(n) => usize::try_from(n).ok(),
                None => return wrong("top_n", "must be a whole number above 0"),
            },
        };
        Ok(Batch { kind, rest, items, tokens, common: query.unwrap_or(0), top })
    }

    /// Cuts the batch into runs of items that together stay under `most` tokens; an item alone may be over.
    pub fn slices(&self, most: u64) -> Vec<Range<usize>> {
        let mut slices = Vec::new();
        let (mut start, mut held) = (0, 0);
        for (index, tokens) in self.tokens.iter().enumerate() {
            if index > start && held + tokens + self.common > most {
                slices.push(start..index);
                (start, held) = (index, 0);
            }
            held += tokens;
        }
        slices.push(start..self.items.len());
        slices
    }

    /// The tokens of a slice.
    pub fn slice_tokens(&self, slice: &Range<usize>) -> u64 {
        self.common + self.tokens[slice.clone()].iter().sum::<u64>()
    }

    /// The body of a slice.
    pub fn body(&self, slice: &Range<usize>) -> Bytes {
        let mut body = self.rest.clone();
        body.insert(self.kind.items().to_owned(), Value::Array(self.items[slice.clone()].to_vec()));
        Value::Object(body).to_string().into()
    }

    /// Puts the answers to all slices together, in the batch's own numbering.
    pub fn join(&self, answers: Vec<(Range<usize>, Bytes)>) -> Result<Bytes, NotAnAnswer> {
        let mut whole: Option<Map<String, Value>> = None;
        let (mut results, mut usage) = (Vec::new(), Map::new());
        for (slice, body) in answers {
            let mut answer: Map<String, Value> = serde_json::from_slice(&body).map_err(|_| NotAnAnswer)?;
            let Some(Value::Array(part)) = answer.remove(self.kind.results()) else {
                return Err(NotAnAnswer);
            };
            for mut result in part {
                let index = result.get_mut("index").ok_or(NotAnAnswer)?;
                let within =
                    index.as_u64().and_then(|i| usize::try_from(i).ok()).filter(|i| *i < slice.len());
                *index = json!(slice.start + within.ok_or(NotAnAnswer)?);
                results.push(result);
            }
            if let Some(Value::Object(part)) = answer.remove("usage") {
                for (name, count) in part {
                    let sum = usage.get(&name).and_then(Value::as_u64).unwrap_or(0);
                    usage.insert(name, count.as_u64().map_or(count, |count| json!(sum + count)));
                }
            }
            whole.get_or_insert(answer);
        }
        if self.kind == Kind::Rerank {
            let score = |r: &Value| r.get("relevance_score").and_then(Value::as_f64).unwrap_or(f64::MIN);
            results.sort_by(|a, b| score(b).partial_cmp(&score(a)).unwrap_or(Ordering::Equal));
            results.truncate(self.top.unwrap_or(usize::MAX));
        }
        let mut whole = whole.ok_or(NotAnAnswer)?;
        whole.insert(self.kind.results().to_owned(), Value::Array(results));
        if !usage.is_empty() {
            whole.insert("usage".to_owned(), Value::Object(usage));
        }
        Ok(Value::Object(whole).to_string().into())
    }
}

/// A server's answer is not what the interface says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the server's answer cannot be read")]
pub struct NotAnAnswer;

#[cfg(test)]
mod tests {
    use super::*;

    fn rerank(body: Value) -> Result<Batch, Unreadable> {
        Batch::decode(Kind::Rerank, body.to_string().as_bytes())
    }

    #[test]
    fn a_long_rerank_is_cut_and_its_answers_join_in_its_own_numbering() {
        let documents = ["aaaaaaaa", "bbbbbbbb", "cccccccc", "dddd", "e"];
        let batch =
            rerank(json!({"model": "m", "query": "qqqq", "documents": documents, "top_n": 3, "x": 1}))
                .unwrap();
        let slices = batch.slices(5);
        assert_eq!(slices, [0..2, 2..5]);
        assert_eq!(batch.slice_tokens(&slices[1]), 5);
        let body: Value = serde_json::from_slice(&batch.body(&slices[1])).unwrap();
        let sent = json!({"model": "m", "query": "qqqq", "documents": ["cccccccc", "dddd", "e"], "top_n": 3, "x": 1});
        assert_eq!(body, sent);
        let result = |index: usize, score: f64| json!({"index": index, "relevance_score": score});
        let first =
            json!({"id": "1", "results": [result(1, 0.5), result(0, 0.1)], "usage": {"total_tokens": 5}});
        let second =
            json!({"id": "2", "results": [result(0, 0.9), result(2, 0.3)], "usage": {"total_tokens": 5}});
        let answers = vec![(0..2, first.to_string().into()), (2..5, second.to_string().into())];
        let joined: Value = serde_json::from_slice(&batch.join(answers).unwrap()).unwrap();
        let results = [result(2, 0.9), result(1, 0.5), result(4, 0.3)];
        assert_eq!(joined, json!({"id": "1", "results": results, "usage": {"total_tokens": 10}}));
    }

    #[test]
    fn embeddings_take_one_text_many_texts_or_token_ids() {
        for (input, count) in
            [(json!("part"), 1), (json!(["a", "b"]), 2), (json!([1, 2, 3]), 1), (json!([[1, 2], [3]]), 2)]
        {
            let body = json!({"model": "m", "input": input}).to_string();
            assert_eq!(Batch::decode(Kind::Embeddings, body.as_bytes()).unwrap().items.len(), count);
        }
    }

    #[test]
    fn what_cannot_be_read_names_its_parameter() {
        let wrong = |body: Value| rerank(body).unwrap_err().param;
        assert_eq!(wrong(json!([])), None);
        assert_eq!(wrong(json!({"query": "q", "documents": ["d"]})), Some("model"));
        assert_eq!(wrong(json!({"model": "m", "documents": ["d"]})), Some("query"));
        assert_eq!(wrong(json!({"model": "m", "query": "q", "documents": []})), Some("documents"));
        assert_eq!(wrong(json!({"model": "m", "query": "q", "documents": [{"no": 1}]})), Some("documents"));
        assert_eq!(wrong(json!({"model": "m", "query": "q", "documents": ["d"], "top_n": 0})), Some("top_n"));
    }

    #[test]
    fn an_answer_out_of_its_slice_is_not_taken() {
        let batch = rerank(json!({"model": "m", "query": "q", "documents": ["d"]})).unwrap();
        for body in [json!({"results": [{"index": 1}]}), json!({"results": [{}]}), json!({}), json!(1)] {
            assert_eq!(batch.join(vec![(0..1, body.to_string().into())]), Err(NotAnAnswer));
        }
    }
}
