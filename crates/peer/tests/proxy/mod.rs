//! A TCP proxy that can stall its connections permanently while new ones work.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
};

use tokio::{
    io::copy,
    net::{TcpListener, TcpStream},
};
use tokio_util::sync::CancellationToken;

/// A TCP proxy, which runs until the test's runtime ends.
pub(crate) struct Proxy {
    /// The address on which it listens.
    pub(crate) address: SocketAddr,
    /// Stalls the connections established so far when it is cancelled.
    stall: Arc<Mutex<CancellationToken>>,
}

impl Proxy {
    /// Starts a proxy that forwards connections to `target`.
    pub(crate) async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let stall = Arc::new(Mutex::new(CancellationToken::new()));
        let shared = stall.clone();
        tokio::spawn(async move {
            loop {
                let (from, _) = listener.accept().await.unwrap();
                let to = TcpStream::connect(target).await.unwrap();
                let stalled = shared.lock().unwrap().clone();
                tokio::spawn(forward(from, to, stalled));
            }
        });
        Self { address, stall }
    }

    /// Stalls all current connections; later ones work.
    pub(crate) fn stall(&self) {
        let mut stall = self.stall.lock().unwrap();
        std::mem::take(&mut *stall).cancel();
    }
}

async fn forward(mut from: TcpStream, mut to: TcpStream, stalled: CancellationToken) {
    let (mut from_read, mut from_write) = from.split();
    let (mut to_read, mut to_write) = to.split();
    let there = copy(&mut from_read, &mut to_write);
    let back = copy(&mut to_read, &mut from_write);
    let copying = async { tokio::join!(there, back) };
    if stalled.run_until_cancelled(copying).await.is_none() {
        // Keeps both sockets open without forwarding anything.
        std::future::pending::<()>().await;
    }
}
