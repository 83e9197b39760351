//! A connection to a daemon that can be cut.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// Passes connections on, and closes all of them on demand.
pub(crate) struct Forwarder {
    pub(crate) address: SocketAddr,
    pub(crate) accepted: Arc<AtomicUsize>,
    pub(crate) cuts: watch::Sender<()>,
}

impl Forwarder {
    pub(crate) async fn start(listener: TcpListener, target: SocketAddr) -> Self {
        let address = listener.local_addr().unwrap();
        let accepted = Arc::new(AtomicUsize::new(0));
        let (cuts, cut) = watch::channel(());
        let count = accepted.clone();
        tokio::spawn(async move {
            loop {
                let (mut from, _) = listener.accept().await.unwrap();
                count.fetch_add(1, Ordering::Relaxed);
                let mut cut = cut.clone();
                cut.borrow_and_update();
                tokio::spawn(async move {
                    let mut to = TcpStream::connect(target).await.unwrap();
                    tokio::select! {
                        _ = copy_bidirectional(&mut from, &mut to) => {}
                        _ = cut.changed() => {}
                    }
                });
            }
        });
        Self {
            address,
            accepted,
            cuts,
        }
    }
}
