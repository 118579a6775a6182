//! Watches the endpoint list by long polling; the address of the service may change.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use cranetack_settings::SiteSettings;
use tokio::sync::watch;

use super::client::{CallError, DiscoveryConnection, ListRequest};
use super::list::EndpointList;
use super::schedule::PollSchedule;
use crate::core::{CoreEvent, EndpointListUpdate, Handle};

/// A watch of the endpoint list: the receiver of its updates, and the schedule of its calls.
pub struct ListWatch {
    /// Settings that define the zones and kinds.
    pub site: SiteSettings,
    /// Handle of the core, which receives the updates.
    pub handle: Handle,
    /// Set to true with the first endpoint list.
    pub list_received: watch::Sender<bool>,
    /// Schedule of the calls.
    pub schedule: PollSchedule,
}

/// Watches the list for as long as the program runs. `known_version` is the version of the list
/// that the core has already. A new address ends the watch at the old one at once, as a call there
/// may hang. At a new address the router fetches the complete list first, because its versions may
/// be unrelated to those of the old address.
pub async fn watch_list(
    mut address: watch::Receiver<SocketAddr>,
    mut known_version: Option<u64>,
    mut list_watch: ListWatch,
) {
    loop {
        let current = *address.borrow_and_update();
        let address_changed = async {
            if address.wait_for(|new| *new != current).await.is_err() {
                std::future::pending::<()>().await; // the sender is gone: no more changes
            }
        };
        let connect = || DiscoveryConnection::connect(current);
        tokio::select! {
            () = address_changed => {
                tracing::info!("discovery address changed");
                // Resets the backoff: the failures happened at the old address.
                list_watch.schedule.record_success();
            }
            () = list_watch.watch_address(connect, known_version.take()) => {}
        }
    }
}

impl ListWatch {
    /// Watches the list at one address; opens a new connection after each failed call.
    pub(super) async fn watch_address<C, F>(&mut self, connect: C, known_version: Option<u64>)
    where
        C: Fn() -> F,
        F: Future<Output = std::io::Result<DiscoveryConnection>>,
    {
        let mut version = known_version;
        loop {
            let error = match connect().await {
                Ok(connection) => self.watch_connection(connection, &mut version).await,
                Err(error) => {
                    tracing::debug!(%error, "cannot connect to discovery");
                    CallError::Unreachable
                }
            };
            let retry_after = self.schedule.record_failure(error);
            tracing::debug!(%error, ?retry_after, "discovery call failed, retrying");
            tokio::time::sleep(retry_after).await;
        }
    }

    /// Watches the list over one connection until a call fails, and returns its error.
    async fn watch_connection(
        &mut self,
        mut connection: DiscoveryConnection,
        version: &mut Option<u64>,
    ) -> CallError {
        // The first call has no hold: its response is needed at once, even without changes.
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
            // A replica of the service that lags behind has responded, or the service has
            // restarted. The router continues with the complete list that the service has now.
            if version.is_some_and(|known| list.version < known) {
                tracing::info!(
                    known_version = *version,
                    version = list.version,
                    "older endpoint list ignored, fetching the complete list"
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

    /// Sends an update to the core. An update without changes is sent too, as it tells the core how
    /// recent its list is.
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
