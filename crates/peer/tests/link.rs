//! Request links over real sockets.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use copperwell_message::{
    Body, Class, Head, Reason, Repeat, Reply, Request, Response, Serve, Verdict,
};
use copperwell_peer::link::{Links, serve};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// The largest body of these tests.
const LIMIT: usize = 16 << 20;

/// Answers with the request's own body.
struct Echo;

impl Serve for Echo {
    async fn serve(&self, request: Request) -> Response {
        Response {
            reply: done(),
            body: request.body,
        }
    }
}

fn done() -> Reply {
    Reply {
        status: 200,
        headers: vec![("x-test".to_owned(), b"1".to_vec())],
        verdict: Verdict::Done,
        reason: None,
        retry_after: None,
    }
}

fn request(body: Body) -> Request {
    let head = Head {
        id: uuid::Uuid::nil(),
        service: "calendar".to_owned(),
        key: "cabin-17".to_owned(),
        shard: 3,
        class: Class::Interactive,
        repeat: Repeat::Repeatable,
        deadline: Duration::from_secs(20),
        caller: IpAddr::V4(Ipv4Addr::LOCALHOST),
        fingerprint: 0,
        method: "GET".to_owned(),
        path: "/".to_owned(),
        headers: Vec::new(),
        hops: 0,
    };
    Request { head, body }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

async fn start(handler: impl Serve) -> SocketAddr {
    let (listener, address) = listen().await;
    tokio::spawn(serve(listener, handler, CancellationToken::new()));
    address
}

#[test_case::test_case(0; "empty")]
#[test_case(5; "small")]
#[test_case(100_000; "longer than a window")]
#[test_case(5_000_000; "long")]
#[tokio::test]
async fn full_bodies_come_back_whole(size: usize) {
    let to = start(Echo).await;
    let sent: Vec<u8> = (0..size).map(|byte| byte as u8).collect();
    let response = Links::new()
        .send(to, request(Body::full(sent.clone())))
        .await;
    assert_eq!(response.reply, done());
    assert!(response.body.collect(LIMIT).await.unwrap() == sent);
}

#[tokio::test]
async fn refused_connection_is_not_run() {
    let (listener, to) = listen().await;
    drop(listener);
    let response = Links::new().send(to, request(Body::empty())).await;
    assert_eq!(response.reply.verdict, Verdict::NotRun);
    assert_eq!(response.reply.reason, Some(Reason::ConnectionRefused));
}

#[tokio::test]
async fn streamed_bodies_come_back_whole_beside_each_other() {
    let to = start(Arc::new(Echo)).await;
    let links = Links::new();
    let exchanges = (0..50_u8).map(|fill| {
        let links = links.clone();
        tokio::spawn(async move {
            let (sender, body) = Body::channel();
            tokio::spawn(async move {
                for _ in 0..40 {
                    sender.send(vec![fill; 10_000]).await.unwrap();
                }
                sender.end().await;
            });
            let response = links.send(to, request(body)).await;
            assert!(response.body.collect(LIMIT).await.unwrap() == vec![fill; 400_000]);
        })
    });
    futures::future::try_join_all(exchanges).await.unwrap();
}
