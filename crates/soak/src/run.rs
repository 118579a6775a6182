//! One run: it starts the test environment, injects faults, and collects the violations.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::client::Client;
use crate::environment::TestEnvironment;
use crate::error::SoakError;
use crate::fault::inject_fault;
use crate::injected_violation::InjectedViolation;
use crate::options::{RunOptions, RunReport};
use crate::oracle::{Outcome, Rule};
use crate::router_process::{Shutdown, Signal};
use crate::router_settings::ORDER_DEADLINE;

/// The shortest time between the beginnings of two faults (ms).
const MIN_FAULT_INTERVAL_MS: u64 = 250;
/// The longest time between the beginnings of two faults (ms).
const MAX_FAULT_INTERVAL_MS: u64 = 900;
/// After the last fault the clients go on for this long, so that all faults have ended and all
/// leases are released.
const RECOVERY_SPAN: Duration = Duration::from_secs(5);
/// How much longer than the longest deadline a run waits for the last answers.
const LAST_ANSWER_MARGIN: Duration = Duration::from_secs(1);
/// How often the oracle looks for what is overdue.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Clients for each router.
const CLIENTS_PER_ROUTER: usize = 4;
/// The mean pause of a client between two requests (ms).
const CLIENT_PAUSE_MS: u64 = 60;

/// Runs from start to end. Must be called within a `LocalSet`, which owns all tasks of the run.
pub async fn run(options: RunOptions) -> Result<RunReport, SoakError> {
    std::fs::create_dir_all(&options.folder).map_err(|source| SoakError::File {
        path: options.folder.clone(),
        source,
    })?;
    let options = Rc::new(options);
    let environment = Rc::new(TestEnvironment::build(&options).await?);
    for router in &environment.routers {
        router.start(&environment.state).await?;
    }
    spawn_local(check_overdue(environment.clone()));
    spawn_clients(&environment);
    if options.injected_violation == Some(InjectedViolation::Crash) {
        environment.routers[0].signal(Signal::Kill);
    }
    let faults = inject_faults(&environment, options.fault_span).await;
    sleep(RECOVERY_SPAN).await;
    environment.state.finished.set(true);
    sleep(ORDER_DEADLINE + LAST_ANSWER_MARGIN).await;
    end_routers(&environment).await;
    Ok(report(&environment, faults))
}

fn spawn_clients(environment: &TestEnvironment) {
    for _ in 0..CLIENTS_PER_ROUTER * environment.routers.len() {
        let client = Client::new(environment.state.clone(), environment.routers.clone());
        spawn_local(client.run(CLIENT_PAUSE_MS));
    }
}

/// Injects faults, which may overlap, and returns how many.
async fn inject_faults(environment: &Rc<TestEnvironment>, span: Duration) -> usize {
    let state = &environment.state;
    let end = state.now() + span;
    let mut faults = 0;
    while state.now() < end {
        let pause = state.draw_millis(MIN_FAULT_INTERVAL_MS, MAX_FAULT_INTERVAL_MS);
        sleep(pause).await;
        spawn_local(inject_fault(environment.clone()));
        faults += 1;
    }
    faults
}

/// Ends all routers, and reports what their logs say is wrong.
async fn end_routers(environment: &TestEnvironment) {
    let state = &environment.state;
    for router in &environment.routers {
        router.end(state, Shutdown::Graceful).await;
        for alarm in router.alarms() {
            state.report_violation(Rule::Crash, format!("router {}: {alarm}", router.index));
        }
    }
}

fn report(environment: &TestEnvironment, faults: usize) -> RunReport {
    let oracle = environment.state.oracle.borrow();
    RunReport {
        served: oracle.count_outcomes(Outcome::Served),
        rejected: oracle.count_outcomes(Outcome::Rejected),
        failed: oracle.count_outcomes(Outcome::Failed),
        faults,
        violations: oracle.violations().to_vec(),
    }
}

/// Looks for overdue answers, leases and notifications for as long as the run lasts.
async fn check_overdue(environment: Rc<TestEnvironment>) {
    let state = &environment.state;
    loop {
        sleep(OVERDUE_CHECK_INTERVAL).await;
        for discovery in &environment.discovery_servers {
            discovery.assume_notified(state);
        }
        state.oracle.borrow_mut().check_overdue(state.now());
    }
}
