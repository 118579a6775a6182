//! A randomized fault soak: real routers as processes on loopback, between stand-ins for servers, discovery and clients
//! that are led through a fault proxy, while signals, cuts and failures overlap. [`oracle`] holds the rules. A run is
//! drawn from a seed; the routers' own timing is the system's, so a seed repeats the troubles, not each event.

pub mod client;
pub mod directory;
pub mod oracle;
pub mod proxy;
pub mod routers;
pub mod scenario;
pub mod server;
pub mod world;
