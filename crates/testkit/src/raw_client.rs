//! A client that sends arbitrary bytes.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A TCP client that sends arbitrary bytes, such as malformed requests.
pub struct RawClient(TcpStream);

impl RawClient {
    /// Connects to a router.
    pub async fn connect(address: SocketAddr) -> RawClient {
        RawClient(TcpStream::connect(address).await.unwrap())
    }

    /// Sends a text.
    pub async fn send(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).await.unwrap();
    }

    /// Sends all parts and reads at the same time, and returns all data that was received until the
    /// router closed the connection.
    pub async fn exchange(&mut self, parts: &[&[u8]]) -> String {
        let (mut reader, mut writer) = self.0.split();
        let mut received = Vec::new();
        let sending = async {
            for part in parts {
                // A router that rejects a request may close the connection before it has read all.
                if writer.write_all(part).await.is_err() {
                    return;
                }
            }
        };
        let (_, _) = tokio::join!(sending, reader.read_to_end(&mut received));
        String::from_utf8_lossy(&received).into_owned()
    }

    /// Returns all data that is received until the router closes the connection.
    pub async fn read_until_closed(&mut self) -> String {
        let mut received = Vec::new();
        // The read fails with a reset if the router closes the connection with unread data.
        let _ = self.0.read_to_end(&mut received).await;
        String::from_utf8_lossy(&received).into_owned()
    }
}
