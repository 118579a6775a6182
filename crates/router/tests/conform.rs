//! Runs the conformance suite against a router with the shipped file of the inference API.

mod common;

use std::time::Duration;

use common::{endpoint_entry, Behaviour, FakeServer, TestRouter};
use cranetack_conformance::{parse_cases, run, Service, CASES};

/// Maximum time for the whole suite, which has hundreds of cases.
const SUITE_TIMEOUT: Duration = Duration::from_secs(300);

#[test]
fn every_conformance_case_passes() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let servers = [
            FakeServer::start(4, Behaviour::Answer).await,
            FakeServer::start(4, Behaviour::Answer).await,
        ];
        let router = TestRouter::start_shipped(
            servers
                .iter()
                .map(|server| endpoint_entry(server, "mixed", "up"))
                .collect(),
        )
        .await;
        let service = Service::new(&format!("http://{}", router.inference), None).unwrap();
        let cases = parse_cases(CASES).unwrap();
        let outcomes = tokio::time::timeout(SUITE_TIMEOUT, run(&service, &cases, |_| ()))
            .await
            .expect("the conformance suite did not finish within 300 s");
        let failed: Vec<_> = outcomes
            .iter()
            .filter(|outcome| !outcome.problems.is_empty())
            .collect();
        assert!(failed.is_empty(), "{failed:#?}");
        assert_eq!(outcomes.len(), cases.len());
    });
}
