//! The conformance suite, against a router with the second front's file as it is shipped.

mod common;

use std::time::Duration;

use common::{endpoint_entry, Behaviour, FakeServer, TestRouter};
use cranetack_conformance::{cases, run, Base, CASES};

/// Longer than any single test may take: these are hundreds.
const ALL: Duration = Duration::from_secs(300);

#[test]
fn every_case_passes() {
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
                .map(|w| endpoint_entry(w, "mixed", "up"))
                .collect(),
        )
        .await;
        let base = Base::new(&format!("http://{}", router.inference), None).unwrap();
        let cases = cases(CASES).unwrap();
        let ran = tokio::time::timeout(ALL, run(&base, &cases, |_| ()))
            .await
            .expect("it hangs");
        let failed: Vec<_> = ran.iter().filter(|o| !o.problems.is_empty()).collect();
        assert!(failed.is_empty(), "{failed:#?}");
        assert_eq!(ran.len(), cases.len());
    });
}
