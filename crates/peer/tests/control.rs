//! Control calls over real sockets.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use copperwell_keyspace::{
    GroupId, LogOffset, Member,
    batch::{Batch, Entry, Relayed},
};
use copperwell_peer::control::{
    Client, Error, HandOver, Handler, Liveness, Pong, Position, Probe, Refusal, Refusals,
    Relinquish, Rumour, Snapshot, VERSION, serve,
};
use copperwell_policy::quarantine::Conviction;
use proxy::Proxy;
use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use tokio_util::sync::CancellationToken;

mod proxy;

/// A timeout that no call of these tests reaches, even on a slow machine.
const LONG: Duration = Duration::from_secs(20);

/// A timeout for calls that are never answered.
const SHORT: Duration = Duration::from_millis(100);

/// Responds with the content of the request.
struct Echo;

impl Handler for Echo {
    async fn probe(&self, probe: Probe) -> Pong {
        Pong {
            own: probe.own,
            position: probe.position,
            log_age: Some(SHORT),
            digest: 5,
            gossip: probe.gossip,
        }
    }

    async fn probe_through(&self, target: SocketAddr) -> Option<Pong> {
        let mut own = rumour();
        own.member.control = target;
        let probe = Probe {
            own,
            position: Position::default(),
            gossip: Vec::new(),
            all: false,
        };
        Some(self.probe(probe).await)
    }

    async fn records(&self, from: LogOffset, _: Duration) -> Option<Batch> {
        let entry = |offset, bytes| Entry { offset, bytes };
        Some(Batch {
            first: from,
            next: from + 2,
            records: vec![entry(from, vec![7; 1000]), entry(from + 1, Vec::new())],
            relayed: Some(Relayed {
                generation: 3,
                age: Duration::from_millis(20),
            }),
        })
    }

    async fn snapshot(&self) -> Option<Snapshot> {
        Some(Snapshot {
            next: 9,
            state: vec![1; 3_000_000],
        })
    }

    async fn hand_over(&self, hand_over: HandOver) -> bool {
        hand_over.window == [1, 2, 3]
    }

    async fn relinquish(&self, relinquish: Relinquish) -> bool {
        relinquish.epoch == 8
    }

    async fn quarantine(&self, _: Vec<Conviction>) {}
}

fn rumour() -> Rumour {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    Rumour {
        member: Member {
            name: "one".into(),
            incarnation: 3,
            data_centre: "dc".into(),
            control: address,
            requests: address,
            admin: address,
        },
        refutation: 2,
        leaving: false,
        liveness: Liveness::Live,
    }
}

fn probe() -> Probe {
    Probe {
        own: rumour(),
        position: Position {
            log_next: 4,
            manifest: 2,
            sees_log: true,
        },
        gossip: vec![rumour()],
        all: false,
    }
}

fn group() -> GroupId {
    GroupId {
        service: "calendar".into(),
        data_centre: "dc".into(),
        part: 0,
    }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

async fn start_server() -> SocketAddr {
    let (listener, address) = listen().await;
    tokio::spawn(serve(
        listener,
        Echo,
        Refusals::new(),
        CancellationToken::new(),
    ));
    address
}

async fn probe_error(client: &Client, to: SocketAddr, timeout: Duration) -> Error {
    let failure = client.probe(to, probe(), timeout).await.unwrap_err();
    *failure.current_context()
}

#[tokio::test]
async fn every_call_reaches_the_handler() {
    let to = start_server().await;
    let client = Client::new();
    let pong = client.probe(to, probe(), LONG).await.unwrap();
    assert_eq!((pong.own, pong.position), (rumour(), probe().position));
    assert_eq!(pong.gossip, [rumour()]);
    let through = client.probe_through(to, to, LONG).await.unwrap();
    assert_eq!(through.unwrap().own.member.control, to);
    let records = client.records(to, 5, Duration::ZERO).await.unwrap();
    assert_eq!(records, Echo.records(5, Duration::ZERO).await);
    let snapshot = client.snapshot(to).await.unwrap();
    assert_eq!(snapshot, Echo.snapshot().await);
    let hand_over = HandOver {
        group: group(),
        epoch: 7,
        window: vec![1, 2, 3],
    };
    assert!(client.hand_over(to, hand_over).await.unwrap());
    let relinquish = Relinquish {
        group: group(),
        epoch: 9,
    };
    assert!(!client.relinquish(to, relinquish).await.unwrap());
}

#[tokio::test]
async fn call_without_listener_is_unreachable() {
    let (listener, to) = listen().await;
    drop(listener);
    assert_eq!(
        probe_error(&Client::new(), to, LONG).await,
        Error::Unreachable
    );
}

#[tokio::test]
async fn call_to_a_paused_daemon_times_out() {
    let (_listener, to) = listen().await;
    assert_eq!(
        probe_error(&Client::new(), to, SHORT).await,
        Error::TimedOut
    );
}

#[tokio::test]
async fn stalled_connection_is_replaced() {
    let proxy = Proxy::start(start_server().await).await;
    let client = Client::new();
    client.probe(proxy.address, probe(), LONG).await.unwrap();
    proxy.stall();
    assert_eq!(
        probe_error(&client, proxy.address, SHORT).await,
        Error::TimedOut
    );
    client.probe(proxy.address, probe(), LONG).await.unwrap();
}

#[tokio::test]
async fn closed_connection_is_replaced() {
    let (listener, to) = listen().await;
    let shutdown = CancellationToken::new();
    let server = tokio::spawn(serve(listener, Echo, Refusals::new(), shutdown.clone()));
    let client = Client::new();
    client.probe(to, probe(), LONG).await.unwrap();
    shutdown.cancel();
    server.await.unwrap();
    assert_eq!(probe_error(&client, to, LONG).await, Error::ConnectionLost);
    let listener = TcpListener::bind(to).await.unwrap();
    tokio::spawn(serve(
        listener,
        Echo,
        Refusals::new(),
        CancellationToken::new(),
    ));
    client.probe(to, probe(), LONG).await.unwrap();
}

#[tokio::test]
async fn malformed_bytes_close_only_their_connection() {
    let to = start_server().await;
    let client = Client::new();
    let mut random = StdRng::seed_from_u64(11);
    for round in 0..50 {
        let mut body = vec![0; random.random_range(1..200)];
        random.fill_bytes(&mut body);
        let mut frame = u32::try_from(body.len()).unwrap().to_be_bytes().to_vec();
        if round % 2 == 0 {
            // The length of the frame far exceeds the limit.
            frame = u32::MAX.to_be_bytes().to_vec();
        }
        frame.extend(body);
        let mut stream = TcpStream::connect(to).await.unwrap();
        stream.write_all(&frame).await.unwrap();
        stream.shutdown().await.unwrap();
        let mut read = Vec::new();
        // The connection may end with an end of file or a reset.
        let _ = stream.read_to_end(&mut read).await;
        client.probe(to, probe(), LONG).await.unwrap();
    }
}

#[tokio::test]
async fn later_version_is_refused_and_counted() {
    let (listener, to) = listen().await;
    let refusals = Refusals::new();
    let shutdown = CancellationToken::new();
    tokio::spawn(serve(listener, Echo, refusals.clone(), shutdown));
    // Records the handshake of this version from a client.
    let (reader, own) = listen().await;
    let client = Client::new();
    let probing = client.probe(own, probe(), LONG);
    let handshake = async {
        let (mut stream, _) = reader.accept().await.unwrap();
        let mut handshake = [0; 8];
        stream.read_exact(&mut handshake).await.unwrap();
        handshake
    };
    let (failure, handshake) = tokio::join!(probing, handshake);
    assert_eq!(
        *failure.unwrap_err().current_context(),
        Error::ConnectionLost
    );
    assert_eq!(handshake[4..], VERSION.to_be_bytes());
    let later_version = VERSION + 1;
    let later = [&handshake[..4], &later_version.to_be_bytes()].concat();
    let refused = Refusal::Version(VERSION + 1);
    for count in 1..=2 {
        let mut stream = TcpStream::connect(to).await.unwrap();
        stream.write_all(&later).await.unwrap();
        let mut read = Vec::new();
        // The connection ends without a response, with an end of file or a reset.
        let _ = stream.read_to_end(&mut read).await;
        assert!(read.is_empty(), "{read:?}");
        assert_eq!(refusals.count(refused), count);
        // Daemons of this version are still served.
        Client::new().probe(to, probe(), LONG).await.unwrap();
    }
    assert_eq!(refusals.count(Refusal::Protocol), 0);
}

#[tokio::test]
async fn connection_without_handshake_is_closed() {
    let (listener, to) = listen().await;
    let refusals = Refusals::new();
    let shutdown = CancellationToken::new();
    tokio::spawn(serve(listener, Echo, refusals.clone(), shutdown));
    let mut stream = TcpStream::connect(to).await.unwrap();
    let mut read = Vec::new();
    stream.read_to_end(&mut read).await.unwrap();
    assert_eq!(refusals.count(Refusal::TimedOut), 1);
}
