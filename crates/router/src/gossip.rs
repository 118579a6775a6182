//! Gossip between routers: datagrams of bounded size, which may be lost.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;

use crate::config::GossipConfig;
use crate::core::{CoreEvent, Handle};

/// Maximum size of a message, in bytes.
const MESSAGE_BYTES_LIMIT: usize = 256;
/// Delay before the next receive after a failed one.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The socket for gossip with the other routers.
#[derive(Clone)]
pub struct GossipSocket {
    socket: Rc<UdpSocket>,
    config: Rc<GossipConfig>,
}

impl GossipSocket {
    /// Binds the socket to the configured address.
    pub async fn bind(config: GossipConfig) -> std::io::Result<GossipSocket> {
        let socket = Rc::new(UdpSocket::bind(config.listen).await?);
        Ok(GossipSocket {
            socket,
            config: Rc::new(config),
        })
    }

    /// Passes messages from other routers on to the core, for as long as the program runs.
    pub async fn receive(self, handle: Handle) {
        let mut buffer = [0; MESSAGE_BYTES_LIMIT];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, sender)) => {
                    let peers = &self.config.peers;
                    let number = peers.iter().position(|peer| *peer == sender);
                    if let Some(number) = number.and_then(|number| u32::try_from(number).ok()) {
                        handle.send(CoreEvent::GossipReceived {
                            from: number,
                            payload: buffer[..length].to_vec(),
                        });
                    }
                }
                // A message to a router that is down makes the next receive fail. This must neither
                // end the task nor make it retry without a delay.
                Err(error) => {
                    tracing::debug!(%error, "could not receive gossip");
                    tokio::time::sleep(RECEIVE_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Sends a message to the router `to`, or to all routers if `to` is `None`. A message that
    /// cannot be sent at once is dropped: any gossip message may be lost.
    pub fn send(&self, to: Option<u32>, payload: &[u8]) {
        if payload.len() > MESSAGE_BYTES_LIMIT {
            tracing::warn!(
                length = payload.len(),
                "gossip message not sent: it exceeds the maximum of {MESSAGE_BYTES_LIMIT} bytes"
            );
            return;
        }
        let address = match to {
            Some(number) => self.config.peers.get(number as usize).copied(),
            None => self.config.broadcast,
        };
        if let Some(address) = address {
            let _ = self.socket.try_send_to(payload, address);
        }
    }
}
