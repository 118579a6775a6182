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

/// Minimum time between the starts of two faults, in milliseconds.
const MIN_FAULT_INTERVAL_MS: u64 = 250;
/// Exclusive upper bound of the time between the starts of two faults, in milliseconds.
const MAX_FAULT_INTERVAL_MS: u64 = 900;
/// Duration after the start of the last fault for which clients still send requests, so that all
/// faults end and all leases are released.
const RECOVERY_DURATION: Duration = Duration::from_secs(5);
/// Time that a run waits for the last responses beyond the longest deadline.
const LAST_RESPONSE_MARGIN: Duration = Duration::from_secs(1);
/// Interval at which the oracle checks for overdue responses and leases.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of clients per router.
const CLIENTS_PER_ROUTER: usize = 4;
/// Mean pause of a client between two requests, in milliseconds.
const CLIENT_PAUSE_MS: u64 = 60;

/// Executes one run and returns its report. Must be called within a `LocalSet`, which owns all
/// tasks of the run.
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
    let faults = inject_faults(&environment, options.fault_injection_duration).await;
    sleep(RECOVERY_DURATION).await;
    environment.state.finished.set(true);
    let longest_deadline = environment.state.deadlines.get().longest();
    sleep(longest_deadline + LAST_RESPONSE_MARGIN).await;
    stop_routers(&environment).await;
    Ok(report(&environment, faults))
}

fn spawn_clients(environment: &TestEnvironment) {
    for _ in 0..CLIENTS_PER_ROUTER * environment.routers.len() {
        let client = Client::new(environment.state.clone(), environment.routers.clone());
        spawn_local(client.run(CLIENT_PAUSE_MS));
    }
}

/// Starts faults, which may overlap, for a duration. Returns the number of faults.
async fn inject_faults(environment: &Rc<TestEnvironment>, duration: Duration) -> usize {
    let state = &environment.state;
    let injection_end = state.now() + duration;
    let mut faults = 0;
    while state.now() < injection_end {
        let pause = state.draw_millis(MIN_FAULT_INTERVAL_MS, MAX_FAULT_INTERVAL_MS);
        sleep(pause).await;
        spawn_local(inject_fault(environment.clone()));
        faults += 1;
    }
    faults
}

/// Stops all routers, and reports each line of their logs that indicates an internal error.
async fn stop_routers(environment: &TestEnvironment) {
    let state = &environment.state;
    for router in &environment.routers {
        router.stop(state, Shutdown::Graceful).await;
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

/// Checks at intervals for overdue responses, leases and notifications, until the run ends.
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
