//! Establishes TCP connections to other daemons.

use std::{
    io,
    net::{IpAddr, SocketAddr},
};

use tokio::net::{TcpSocket, TcpStream};

/// Opens connections to other daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Dialer {
    source: Option<IpAddr>,
}

impl Dialer {
    /// Lets the operating system choose the source address of connections.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the source address of connections, by which firewalls between data centres recognize the
    /// daemon.
    #[must_use]
    pub fn with_source(mut self, source: IpAddr) -> Self {
        self.source = Some(source);
        self
    }

    pub(crate) async fn connect(self, to: SocketAddr) -> io::Result<TcpStream> {
        let socket = if to.is_ipv4() {
            TcpSocket::new_v4()?
        } else {
            TcpSocket::new_v6()?
        };
        if let Some(source) = self.source {
            socket.bind(SocketAddr::new(source, 0))?;
        }
        let stream = socket.connect(to).await?;
        // An error is harmless: without the option, small messages are only delayed.
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }
}
