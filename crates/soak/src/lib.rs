//! A soak test with random faults. It runs real router processes on loopback, together with fake
//! model servers, fake discovery servers and clients, with a fault proxy between each router and
//! each fake model server, and injects overlapping faults such as signals, stalled connections and
//! failures. Each run checks the rules in [`oracle`]. The faults of a run are drawn from a seed.
//! The operating system schedules the router processes, so a seed reproduces the faults, but not
//! the exact sequence of events.

pub mod client;
pub mod crowd;
pub mod discovery_server;
pub mod endpoint_list;
pub mod environment;
pub mod error;
pub mod fault;
pub mod fault_proxy;
pub mod injected_violation;
pub mod misbehaving_clients;
pub mod model_server;
pub mod options;
pub mod oracle;
pub mod ports;
pub mod process_usage;
pub mod router_process;
pub mod router_settings;
pub mod run;
pub mod run_state;
