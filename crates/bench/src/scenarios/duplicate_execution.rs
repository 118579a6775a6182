//! Checks that no document of a non-idempotent class is executed more than once.

use std::cell::RefCell;
use std::collections::HashMap;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use cranetack_testkit::FakeServer;
use serde_json::{json, Value};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::environment::TestEnvironment;
use crate::requests::{document_text, post, RERANK_PATH};

/// One slice out of this many fails at each server.
const FAILURE_INTERVAL: usize = 10;
const BATCHES: usize = 150;
/// Number of documents in a batch.
const DOCUMENTS_PER_BATCH: usize = 60;
/// One batch out of this many is cancelled.
const CANCEL_INTERVAL: usize = 3;
/// Time between the start of a batch and its cancellation.
const CANCEL_DELAY: Duration = Duration::from_millis(10);
/// Number of leading characters that identify a document.
const DOCUMENT_KEY_LENGTH: usize = 24;

/// How often each document was sent to a server, by the beginning of its text.
type SendCounts = Rc<RefCell<HashMap<String, usize>>>;

/// Returns the number of documents of a non-idempotent class that were sent to servers more than
/// once, plus the number of servers that had two attempts of a request at the same time. Meanwhile,
/// servers fail and clients cancel batches.
pub(crate) async fn measure() -> std::io::Result<usize> {
    let use_non_idempotent_class =
        |file: String| file.replace("class = \"rerank\"", "class = \"order\"");
    let environment =
        TestEnvironment::start("unsafe", Path::new("."), use_non_idempotent_class).await?;
    let sent = SendCounts::default();
    for server in &environment.servers {
        count_documents(server, sent.clone());
    }
    environment.set_service_time(Duration::from_millis(2), Duration::from_millis(1));
    environment.set_failure_interval(FAILURE_INTERVAL);
    send_batches(&environment).await;
    let sent_repeatedly = sent.borrow().values().filter(|count| **count > 1).count();
    let concurrent = environment
        .servers
        .iter()
        .filter(|server| server.max_concurrent_attempts.get() > 1)
        .count();
    Ok(sent_repeatedly + concurrent)
}

/// Counts the documents of each request that gets a slot at a server.
fn count_documents(server: &FakeServer, sent: SendCounts) {
    *server.on_request_started.borrow_mut() = Some(Box::new(move |_, body| {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let documents = body["documents"].as_array().into_iter().flatten();
        for document in documents.filter_map(Value::as_str) {
            let key = document.chars().take(DOCUMENT_KEY_LENGTH).collect();
            *sent.borrow_mut().entry(key).or_default() += 1;
        }
    }));
}

async fn send_batches(environment: &TestEnvironment) {
    let address = environment.router.inference_address;
    let mut batches = Vec::new();
    for batch in 0..BATCHES {
        let documents: Vec<String> = (0..DOCUMENTS_PER_BATCH)
            .map(|document| format!("{document} of {batch}, {}", document_text()))
            .collect();
        let body = json!({"model": "m", "query": "q", "documents": documents}).to_string();
        let id = format!("u{batch}");
        let response = spawn_local(async move { post(address, RERANK_PATH, &id, body).await });
        if batch % CANCEL_INTERVAL == 0 {
            sleep(CANCEL_DELAY).await;
            response.abort();
        }
        batches.push(response);
    }
    for batch in batches {
        let _ = batch.await;
    }
}
