//! A peer that speaks valid h2 but violates the protocol on top of it.

use std::net::{Ipv4Addr, SocketAddr};

use bincode::Options;
use bytes::Bytes;
use copperwell_message::{Reply, Verdict};
use h2::{Reason, server::SendResponse};
use tokio::net::{TcpListener, TcpStream};

/// How the peer mishandles a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Refuses the stream.
    RefuseStream,
    /// Resets the stream.
    ResetStream,
    /// Closes the connection.
    Close,
    /// Responds with bytes that are not a valid message.
    Garbage,
    /// Ends the body before its announced length.
    Short,
    /// Sends more than the announced length.
    Long,
    /// Ends a body of unknown length without trailers.
    MissingTrailers,
}

/// Starts a peer that serves one connection.
pub(crate) async fn start(fault: Fault) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let mut link = h2::server::handshake(stream).await.unwrap();
        while let Some(Ok((_, respond))) = link.accept().await {
            if fault == Fault::Close {
                return;
            }
            inject(fault, respond);
        }
    });
    address
}

/// The start of a stream that a daemon opened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Sent {
    /// The path, which ends with the protocol version.
    pub(crate) path: String,
    /// The message.
    pub(crate) message: Bytes,
}

/// Receives the first stream that a daemon opens.
pub(crate) async fn receive(listener: TcpListener) -> Sent {
    let (stream, _) = listener.accept().await.unwrap();
    let mut link = h2::server::handshake(stream).await.unwrap();
    let (request, _respond) = link.accept().await.unwrap().unwrap();
    let path = request.uri().path().to_owned();
    let mut body = request.into_body();
    let message = tokio::select! {
        message = body.data() => message.unwrap().unwrap(),
        _ = link.accept() => panic!("the link ended"),
    };
    Sent { path, message }
}

/// Replays a stream to another daemon; returns the reason if that daemon resets it.
pub(crate) async fn send(to: SocketAddr, sent: &Sent) -> Option<Reason> {
    let stream = TcpStream::connect(to).await.unwrap();
    let (mut link, connection) = h2::client::handshake(stream).await.unwrap();
    tokio::spawn(connection);
    let request = http::Request::post(&sent.path).body(()).unwrap();
    let (response, mut body) = link.send_request(request, false).unwrap();
    body.send_data(sent.message.clone(), true).unwrap();
    response.await.err().map(|error| error.reason().unwrap())
}

fn inject(fault: Fault, mut respond: SendResponse<Bytes>) {
    let bytes = match fault {
        Fault::RefuseStream => return respond.send_reset(Reason::REFUSED_STREAM),
        Fault::ResetStream => return respond.send_reset(Reason::INTERNAL_ERROR),
        Fault::Close => return,
        Fault::Garbage => vec![0, 0, 0, 3, 9, 9, 9],
        Fault::Short => encode_response(Some(10), b"short"),
        Fault::Long => encode_response(Some(2), b"long"),
        Fault::MissingTrailers => encode_response(None, b"whole?"),
    };
    let head = http::Response::new(());
    let mut to = respond.send_response(head, false).unwrap();
    to.send_data(bytes.into(), true).unwrap();
}

/// Encodes a response's message and body as a link does.
fn encode_response(length: Option<u64>, body: &[u8]) -> Vec<u8> {
    let reply = Reply {
        status: 200,
        headers: Vec::new(),
        verdict: Verdict::Done,
        reason: None,
        retry_after: None,
    };
    let message = bincode::DefaultOptions::new()
        .serialize(&(length, reply))
        .unwrap();
    let size = u32::try_from(message.len()).unwrap().to_be_bytes();
    [&size[..], &message, body].concat()
}
