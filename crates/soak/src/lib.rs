//! A randomized fault soak: real routers as processes on loopback, between fake servers, fake
//! discovery servers and clients, with a fault proxy on each connection, while signals, partitions
//! and failures overlap. [`oracle`] holds the rules that each run checks. A run's faults are drawn
//! from a seed; the routers' own timing is the system's, so a seed repeats the faults, not each
//! event.

pub mod client;
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
pub mod router_process;
pub mod router_settings;
pub mod run;
pub mod run_state;
