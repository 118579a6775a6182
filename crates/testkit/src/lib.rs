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
pub use endpoint_entry::line_at;
pub use fake_discovery::Discovery;
pub use fake_server::{line, Behaviour, Seen, Spoils, Worker, DONE, EVENT, FINISH};
pub use manual_server::{
    chunk, End, ManualConnection, ManualSender, ManualServer, LAST_CHUNK, READ, STREAM_HEAD,
};
pub use raw_client::Raw;
pub use response::Reply;
pub use runtime::{run, run_paused, HANG};
pub use scripted_server::scripted;
pub use settings::settings;
