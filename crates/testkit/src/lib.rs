//! Fake discovery, fake model servers and clients on loopback, for tests, the example servers and
//! measurements. They do not depend on the router. A fake model server behaves as its
//! [`Behaviour`] says, or as a request asks for in the field `toy` of its body, and records
//! [`Observation`]s.

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
    endpoint_entry, Behaviour, FakeServer, MalformedResponse, Observation, CHAT_EVENT, DONE_EVENT,
    FINISH_EVENT,
};
pub use manual_server::{
    encode_chunk, ConnectionEnd, ManualConnection, ManualSender, ManualServer, LAST_CHUNK,
    PREFILL_RESPONSE, STREAM_HEAD,
};
pub use raw_client::RawClient;
pub use response::FakeResponse;
pub use runtime::{run_test, run_test_with_paused_clock, TEST_TIMEOUT};
pub use scripted_server::{start_scripted_server, ScriptedServer};
pub use settings::test_settings;
