//! The server side of the router: listeners, client connections, and the two APIs that are served
//! on them.
//!
//! A [`Frontend`] implements one API. It decodes each request once, submits it to the core, waits
//! for the final response, and encodes that once. [`serve`] runs a frontend on the connections of
//! one listener.

mod body;
mod byte_budget;
mod client_stream;
mod connection_server;
mod connection_state;
mod connections;
mod headers;
pub mod inference;
mod pipeline;
pub mod platform;
mod readiness;
mod request_id;
mod response;
mod response_body;
mod segments;
mod server;
mod turns;

use std::future::Future;

use http::{Request, Response};
use tokio::sync::watch;

use crate::core::Handle;
use crate::memory::MemoryLedger;
use crate::shutdown::Phase;

pub use body::{BodyError, RequestBody};
pub use connection_state::ClientLimits;
pub use connections::ConnectionLimiter;
pub use readiness::Readiness;
pub use response_body::{ResponseBody, StreamBody};
pub use server::serve;

/// What the frontends of a router share.
#[derive(Clone)]
pub struct FrontendContext {
    /// Submits requests to the core.
    pub handle: Handle,
    /// The memory of the router.
    pub memory: MemoryLedger,
    /// The phase of the router's shutdown.
    pub phase: watch::Receiver<Phase>,
}

/// An API that the router serves.
pub trait Frontend: Clone + 'static {
    /// Returns the limits for clients of this API.
    fn limits(&self) -> ClientLimits {
        ClientLimits::default()
    }

    /// Returns the response to a request that is rejected for `reason` before it is decoded.
    fn reject(&self, reason: BodyError) -> Response<ResponseBody>;

    /// Responds to a request.
    fn respond(self, request: Request<RequestBody>)
        -> impl Future<Output = Response<ResponseBody>>;
}
