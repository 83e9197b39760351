//! A TCP proxy whose connections can go silent for good while new ones work.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
};

use tokio::{
    io::copy,
    net::{TcpListener, TcpStream},
};
use tokio_util::sync::CancellationToken;

/// The proxy; it ends with the test's runtime.
pub(crate) struct Proxy {
    /// Where it listens.
    pub(crate) address: SocketAddr,
    /// Silences the connections made so far.
    silence: Arc<Mutex<CancellationToken>>,
}

impl Proxy {
    /// Forwards connections to `target`.
    pub(crate) async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let silence = Arc::new(Mutex::new(CancellationToken::new()));
        let shared = silence.clone();
        tokio::spawn(async move {
            loop {
                let (from, _) = listener.accept().await.unwrap();
                let to = TcpStream::connect(target).await.unwrap();
                let silenced = shared.lock().unwrap().clone();
                tokio::spawn(forward(from, to, silenced));
            }
        });
        Self { address, silence }
    }

    /// Lets all connections go silent; later ones work.
    pub(crate) fn silence(&self) {
        let mut silence = self.silence.lock().unwrap();
        std::mem::take(&mut *silence).cancel();
    }
}

async fn forward(mut from: TcpStream, mut to: TcpStream, silenced: CancellationToken) {
    let (mut from_read, mut from_write) = from.split();
    let (mut to_read, mut to_write) = to.split();
    let there = copy(&mut from_read, &mut to_write);
    let back = copy(&mut to_read, &mut from_write);
    let copying = async { tokio::join!(there, back) };
    if silenced.run_until_cancelled(copying).await.is_none() {
        // Both sockets stay open, and nothing passes.
        std::future::pending::<()>().await;
    }
}
