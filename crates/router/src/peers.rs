//! Messages between routers: datagrams of at most 256 bytes, which may be lost.

use std::rc::Rc;

use tokio::net::UdpSocket;

use crate::config::Peering;
use crate::core::{CoreEvent, Handle};

/// The most that a message may hold.
const MESSAGE_MOST: usize = 256;

/// The routers of the tier.
#[derive(Clone)]
pub struct Peers {
    socket: Rc<UdpSocket>,
    peering: Rc<Peering>,
}

impl Peers {
    /// Listens where the configuration says.
    pub async fn bind(peering: Peering) -> std::io::Result<Peers> {
        let socket = Rc::new(UdpSocket::bind(peering.listen).await?);
        Ok(Peers {
            socket,
            peering: Rc::new(peering),
        })
    }

    /// Passes on what arrives from routers of the tier, for as long as the program runs.
    pub async fn receive(self, handle: Handle) {
        let mut buffer = [0; MESSAGE_MOST];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, from)) => {
                    let number = self.peering.peers.iter().position(|peer| *peer == from);
                    if let Some(number) = number.and_then(|n| u32::try_from(n).ok()) {
                        let payload = buffer[..length].to_vec();
                        handle.send(CoreEvent::GossipReceived {
                            from: number,
                            payload,
                        });
                    }
                }
                // A peer that is down makes the next receive fail: that is no reason to stop or to spin.
                Err(error) => {
                    tracing::debug!(%error, "a message could not be received");
                    tokio::time::sleep(std::time::Duration::from_millis(10)).await;
                }
            }
        }
    }

    /// Sends a message to one router, or to all. What cannot be sent at once is lost, as any may be.
    pub fn send(&self, to: Option<u32>, bytes: &[u8]) {
        if bytes.len() > MESSAGE_MOST {
            tracing::warn!(
                length = bytes.len(),
                "a message to other routers is too long and was not sent"
            );
            return;
        }
        let to = match to {
            Some(number) => self.peering.peers.get(number as usize).copied(),
            None => self.peering.all,
        };
        if let Some(to) = to {
            let _ = self.socket.try_send_to(bytes, to);
        }
    }
}
