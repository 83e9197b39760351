//! Calls, and the errors of those without a response.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};

use crate::setup::TEST_TIMEOUT;
use bytes::Bytes;
use copperwell_backend::{
    call::{Caller, Deadline, Lost, Whole},
    pool::Timing,
};
use http::Request;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{Instant, sleep, timeout},
};

/// The warm minimum of connections.
const WARM_CONNECTIONS: u32 = 3;

/// A timeout that a test expects to expire.
const SHORT_TIMEOUT: Duration = Duration::from_millis(100);

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// A server that reads its connections only while `is_reading` is set.
struct Server {
    address: SocketAddr,
    is_reading: watch::Sender<bool>,
    /// The number of requests read on each connection.
    requests: Arc<Mutex<Vec<usize>>>,
}

impl Server {
    async fn start(is_reading: bool) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let server = Self {
            address: listener.local_addr().unwrap(),
            is_reading: watch::Sender::new(is_reading),
            requests: Arc::default(),
        };
        let (is_reading, requests) = (server.is_reading.subscribe(), server.requests.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let index = {
                    let mut requests = requests.lock().unwrap();
                    requests.push(0);
                    requests.len() - 1
                };
                tokio::spawn(serve(stream, is_reading.clone(), requests.clone(), index));
            }
        });
        server
    }

    async fn call(
        &self,
        caller: &Caller,
        answered: Duration,
        new: Duration,
    ) -> Result<Whole, Lost> {
        let now = Instant::now();
        let deadline = Deadline {
            answered: now + answered,
            new: now + new,
        };
        let request = Request::new(Bytes::from_static(b"{}"));
        caller.call(self.address, request, deadline).await
    }
}

async fn serve(
    mut stream: TcpStream,
    mut is_reading: watch::Receiver<bool>,
    requests: Arc<Mutex<Vec<usize>>>,
    index: usize,
) {
    let mut bytes = [0; 4096];
    loop {
        let _ = is_reading.wait_for(|is_reading| *is_reading).await;
        match stream.read(&mut bytes).await {
            Ok(1..) => {}
            _ => return,
        }
        requests.lock().unwrap()[index] += 1;
        let _ = is_reading.wait_for(|is_reading| *is_reading).await;
        if stream.write_all(ANSWER).await.is_err() {
            return;
        }
    }
}

fn caller() -> Caller {
    let timing = Timing {
        connect: TEST_TIMEOUT,
        idle: TEST_TIMEOUT,
        warm: WARM_CONNECTIONS,
    };
    Caller::new(timing, 2 * WARM_CONNECTIONS, 1024).with_strict()
}

/// A busy server reads a new connection late, so a call on one has a longer deadline.
#[tokio::test]
async fn call_on_a_new_connection_has_its_own_deadline() {
    let server = Server::start(false).await;
    let caller = caller();
    let resume_reading = async {
        sleep(3 * SHORT_TIMEOUT).await;
        server.is_reading.send_replace(true);
    };
    let (whole, ()) = tokio::join!(
        server.call(&caller, SHORT_TIMEOUT, TEST_TIMEOUT),
        resume_reading
    );
    assert!(whole.is_ok(), "{whole:?}");
}

#[tokio::test]
async fn call_without_a_response_fails_with_its_cause() {
    let server = Server::start(false).await;
    let caller = caller();
    let unread = server.call(&caller, SHORT_TIMEOUT, SHORT_TIMEOUT).await;
    assert_eq!(unread.unwrap_err(), Lost::Unread);
    server.is_reading.send_replace(true);
    server
        .call(&caller, TEST_TIMEOUT, TEST_TIMEOUT)
        .await
        .unwrap();
    server.is_reading.send_replace(false);
    // Some warm connections may be new, but the used one has carried a response.
    let mut lost = Vec::new();
    for _ in 0..WARM_CONNECTIONS {
        lost.push(
            server
                .call(&caller, SHORT_TIMEOUT, SHORT_TIMEOUT)
                .await
                .unwrap_err(),
        );
    }
    assert!(lost.contains(&Lost::Silent), "{lost:?}");
}

/// Warm connections are used in rotation, so that each has soon carried a response.
#[tokio::test]
async fn warm_connections_are_used_in_rotation() {
    let server = Server::start(true).await;
    let caller = caller();
    let all_used = async {
        loop {
            server
                .call(&caller, TEST_TIMEOUT, TEST_TIMEOUT)
                .await
                .unwrap();
            let counts = server.requests.lock().unwrap().clone();
            if counts.len() == WARM_CONNECTIONS as usize && counts.iter().all(|count| *count > 0) {
                return;
            }
        }
    };
    timeout(TEST_TIMEOUT, all_used).await.unwrap();
    server
        .call(&caller, TEST_TIMEOUT, TEST_TIMEOUT)
        .await
        .unwrap();
    assert_eq!(
        server.requests.lock().unwrap().len(),
        WARM_CONNECTIONS as usize
    );
}
