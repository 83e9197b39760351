//! Finds out whether a server's process has ended.

use std::{io::ErrorKind, net::SocketAddr, time::Duration};

use tokio::{net::TcpStream, time::timeout};

/// Opens a connection to `address`, and returns whether no process listens there.
///
/// A connection that is not answered within `limit`, or fails in another way, proves nothing.
pub async fn is_refused(address: SocketAddr, limit: Duration) -> bool {
    let connected = timeout(limit, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}
