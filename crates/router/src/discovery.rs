//! Discovery client: watches the endpoint list and sends its updates to the core.

mod client;
mod list;
mod schedule;
mod watch;

pub use list::EndpointList;
pub use schedule::PollSchedule;
pub use watch::{watch_list, ListWatch};
