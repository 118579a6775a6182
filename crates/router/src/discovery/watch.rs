//! Watches the endpoint list at an address that may change.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use cranetack_settings::SiteSettings;
use tokio::sync::watch;

use super::client::{CallError, DiscoveryConnection, ListRequest};
use super::list::EndpointList;
use super::schedule::PollSchedule;
use crate::core::{CoreEvent, EndpointListUpdate, Handle};

/// A watch of the endpoint list: where its updates go, and how often discovery is called.
pub struct ListWatch {
    /// The settings that name zones and kinds.
    pub site: SiteSettings,
    /// Where updates go.
    pub handle: Handle,
    /// Becomes true with the first response.
    pub list_received: watch::Sender<bool>,
    /// When discovery is called.
    pub schedule: PollSchedule,
}

/// Watches the list for as long as the program runs; `known_version` is that of the list that the
/// core has already. A new address ends the watch at the old one, which may hang, and begins with
/// the complete list: its versions need not continue the old ones.
pub async fn watch_list(
    mut address: watch::Receiver<SocketAddr>,
    mut known_version: Option<u64>,
    mut list_watch: ListWatch,
) {
    loop {
        let current = *address.borrow_and_update();
        let address_changed = async {
            if address.wait_for(|new| *new != current).await.is_err() {
                std::future::pending::<()>().await; // nobody can change it any more
            }
        };
        let connect = || DiscoveryConnection::connect(current);
        tokio::select! {
            () = address_changed => {
                tracing::info!("discovery address changed");
                // The failures were another address's.
                list_watch.schedule.record_success();
            }
            () = list_watch.follow(connect, known_version.take()) => {}
        }
    }
}

impl ListWatch {
    /// Watches the list at one address, over one connection after another.
    pub(super) async fn follow<C, F>(&mut self, connect: C, known_version: Option<u64>)
    where
        C: Fn() -> F,
        F: Future<Output = std::io::Result<DiscoveryConnection>>,
    {
        let mut version = known_version;
        loop {
            let error = match connect().await {
                Ok(connection) => self.follow_connection(connection, &mut version).await,
                Err(error) => {
                    tracing::debug!(%error, "discovery unreachable");
                    CallError::Unreachable
                }
            };
            let retry_after = self.schedule.record_failure(error);
            tracing::debug!(%error, ?retry_after, "discovery call failed, retrying");
            tokio::time::sleep(retry_after).await;
        }
    }

    /// Watches the list over one connection until a call fails.
    async fn follow_connection(
        &mut self,
        mut connection: DiscoveryConnection,
        version: &mut Option<u64>,
    ) -> CallError {
        // The first response is needed at once, with or without changes.
        let mut hold = Duration::ZERO;
        loop {
            let request = ListRequest {
                since_version: *version,
                hold,
            };
            let list = match connection.fetch(request).await {
                Ok(list) => list,
                Err(error) => return error,
            };
            self.schedule.record_success();
            // The instance that answered lags, or the service has restarted: the complete list that
            // it has now counts.
            if version.is_some_and(|known| list.version < known) {
                tracing::info!(
                    known_version = *version,
                    version = list.version,
                    "older endpoint list received, fetching the complete one"
                );
                *version = None;
                hold = Duration::ZERO;
                continue;
            }
            *version = Some(list.version);
            hold = self.schedule.next_hold();
            self.publish(&list);
        }
    }

    /// Passes an update on, also one without changes: it tells how recent the core's list is.
    fn publish(&self, list: &EndpointList) {
        let entries = list.entries(&self.site);
        let update = if list.is_snapshot {
            EndpointListUpdate::Snapshot(entries)
        } else {
            EndpointListUpdate::Delta(entries)
        };
        self.handle.send(CoreEvent::EndpointsUpdated(update));
        let draining_names = list.draining_names(&self.site);
        if !draining_names.is_empty() {
            self.handle
                .send(CoreEvent::EndpointsDraining(draining_names));
        }
        self.list_received.send_replace(true);
    }
}

#[cfg(test)]
mod tests;
