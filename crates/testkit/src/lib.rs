//! Fake servers on loopback for discovery, model servers and clients: for tests, the example
//! servers and measurements. They know nothing of the router. A fake server does what its
//! [`Behaviour`] says, or what a request's own `toy` field asks for, and records what it observed.

mod client;
mod endpoint_entry;
mod fake_discovery;
mod fake_server;
mod manual_server;
mod raw_client;
mod response;
mod runtime;
mod scripted_server;
mod settings;

pub use client::Client;
pub use endpoint_entry::endpoint_entry_at;
pub use fake_discovery::FakeDiscovery;
pub use fake_server::{
    endpoint_entry, Behaviour, FakeServer, MalformedAnswer, Observation, DONE, EVENT, FINISH,
};
pub use manual_server::{
    chunk, ConnectionEnd, ManualConnection, ManualSender, ManualServer, LAST_CHUNK,
    PREFILL_RESPONSE, STREAM_HEAD,
};
pub use raw_client::RawClient;
pub use response::FakeResponse;
pub use runtime::{run, run_paused, TEST_TIMEOUT};
pub use scripted_server::{start_scripted_server, ScriptedServer};
pub use settings::settings;
