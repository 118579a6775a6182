//! Short calls while servers do not answer, on a paused clock.

use cranetack_settings::Report;
use cranetack_testkit::{run_paused, Behaviour, FakeServer, ManualServer, Observation};

use super::*;
use crate::core::Handle;
use crate::upstream::{ConnectionPool, Options};
use tokio::sync::watch;

const MS: Duration = Duration::from_millis(1);

fn shared() -> Rc<Shared> {
    let options = Options {
        connection_limit: 32,
        connect_timeout: 250 * MS,
        idle_close: 15_000 * MS,
        silence: 4_000 * MS,
        report: Report::default(),
    };
    let pool = ConnectionPool::new(
        options.connection_limit,
        options.connect_timeout,
        options.idle_close,
    );
    Rc::new(Shared {
        handle: Handle::new().0,
        releases: watch::Sender::new(0),
        pool,
        options,
    })
}

/// Guards against servers that hang one behind the other: what is held must be let go within 300 ms of the settings'
/// limit, and the module waits for a part of that already.
#[test]
fn what_is_held_is_let_go_in_time_though_four_servers_in_a_row_do_not_answer() {
    run_paused(async {
        let (mut silent, mut endpoints) = (Vec::new(), Vec::new());
        for n in 0..4 {
            let server = ManualServer::start().await;
            endpoints.push(Rc::new(Endpoint::new(
                &format!("silent{n}"),
                server.address,
            )));
            silent.push(server);
        }
        let worker = FakeServer::start(1, Behaviour::Answer).await;
        endpoints.push(Rc::new(Endpoint::new("worker", worker.address)));
        let began = Instant::now();
        shared().let_go("q1".into(), endpoints).await;
        assert!(worker
            .observations
            .borrow()
            .contains(&Observation::SlotCall {
                method: "DELETE".to_owned(),
                id: "q1".to_owned()
            }));
        assert!(began.elapsed() <= 250 * MS, "{:?}", began.elapsed());
    });
}
