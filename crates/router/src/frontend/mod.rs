//! The server side of the router: listening, client connections, and the two APIs served on them.
//!
//! A [`Frontend`] is one API. It decodes a request once, waits for the core's response at the
//! exchange, and encodes the response once. [`serve`] runs it on the connections of one listener.

mod body;
mod byte_budget;
mod client_stream;
mod connection_state;
mod connections;
mod headers;
pub mod inference;
pub mod platform;
mod readiness;
mod request_id;
mod response;
mod response_body;
mod server;

use std::future::Future;

use http::{Request, Response};

pub use body::{BodyError, RequestBody};
pub use connection_state::ClientLimits;
pub use readiness::Readiness;
pub use response_body::{ResponseBody, StreamBody};
pub use server::serve;

/// An API that the router serves.
pub trait Frontend: Clone + 'static {
    /// The limits for its clients.
    fn limits(&self) -> ClientLimits {
        ClientLimits::default()
    }

    /// Responds to a request.
    fn respond(self, request: Request<RequestBody>)
        -> impl Future<Output = Response<ResponseBody>>;
}
