//! Binding of a router's addresses.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

use super::{Router, RouterOptions, StartError};
use crate::config::Config;
use crate::gossip::GossipSocket;

/// Time for which binding an address is retried.
const BIND_RETRY_WINDOW: Duration = Duration::from_secs(3);
/// Delay between two attempts to bind an address.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(50);

impl Router {
    /// Binds the addresses in the configuration, and those of the enabled services in `options`.
    pub async fn bind(config: Config, options: RouterOptions) -> Result<Router, StartError> {
        let platform = bind_listener("listen", config.listen).await?;
        let inference = match options.inference {
            Some(setup) => Some((
                bind_listener("inference listen", setup.listen).await?,
                setup,
            )),
            None => None,
        };
        let control = match options.control {
            Some(setup) => Some((bind_listener("control listen", setup.listen).await?, setup)),
            None => None,
        };
        let gossip = match &config.gossip {
            Some(gossip) => {
                let bind = || GossipSocket::bind(gossip.clone());
                Some(bind_with_retries("peer_listen", gossip.listen, bind).await?)
            }
            None => None,
        };
        let discovery_address = options
            .discovery
            .unwrap_or_else(|| watch::channel(config.discovery).1);
        Ok(Router {
            config,
            platform,
            inference,
            tenants: options.tenants,
            control,
            discovery_address,
            gossip,
        })
    }
}

/// Listens on an address. `key` is its key in the configuration, for error messages.
async fn bind_listener(key: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    bind_with_retries(key, address, || TcpListener::bind(address)).await
}

/// Binds an address, with retries: file descriptors may be short for a moment, or the previous
/// process may not have released the address yet.
async fn bind_with_retries<T, F: Future<Output = std::io::Result<T>>>(
    key: &'static str,
    address: SocketAddr,
    bind: impl Fn() -> F,
) -> Result<T, StartError> {
    let deadline = Instant::now() + BIND_RETRY_WINDOW;
    loop {
        match bind().await {
            Ok(bound) => return Ok(bound),
            Err(error) if Instant::now() < deadline => {
                tracing::warn!(%error, key, %address, "cannot listen on address, retrying");
                tokio::time::sleep(BIND_RETRY_DELAY).await;
            }
            Err(source) => {
                return Err(StartError::Listen {
                    key,
                    address,
                    source,
                })
            }
        }
    }
}
