//! A router for a service of language models whose prefill and decode run on different model
//! servers, the endpoints. The routing policy makes all decisions; this library carries them out on
//! sockets.
//!
//! A request arrives at a [`frontend`], which decodes it and waits for the response at an
//! [`exchange`]. The [`core`] asks the policy what to do with the request, and the [`upstream`]
//! makes the attempts at endpoints and reports their outcomes to the core. [`discovery`] supplies
//! the endpoint list, and [`gossip`] the messages of other routers. [`Router`] puts these parts
//! together, and [`run`] runs it.

mod backoff;
mod closing;
pub mod config;
pub mod control;
pub mod core;
pub mod discovery;
pub mod exchange;
mod framing;
pub mod frontend;
pub mod gossip;
pub mod memory;
mod router;
pub mod shutdown;
pub mod signals;
mod socket;
pub mod tasks;
pub mod tenants;
pub mod upstream;
mod write_window;

use std::future::Future;

use tokio::runtime::Runtime;
use tokio::task::LocalSet;

use crate::config::Config;

pub use router::{Router, RouterOptions, StartError};

/// Builds a runtime on which a router can run.
pub fn runtime() -> Result<Runtime, StartError> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StartError::Runtime)
}

/// Runs a router on this thread until `signal` completes and all accepted requests have their final
/// response. `options` is called within the runtime and a `LocalSet`.
pub fn run(
    runtime: &Runtime,
    config: Config,
    options: impl FnOnce() -> RouterOptions,
    signal: impl Future<Output = ()> + 'static,
) -> Result<(), StartError> {
    LocalSet::new().block_on(runtime, async {
        Router::bind(config, options()).await?.serve(signal).await;
        Ok(())
    })
}
