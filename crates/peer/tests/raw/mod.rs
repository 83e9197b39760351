//! A peer that speaks h2 and breaks the rules on top of it.

use std::net::{Ipv4Addr, SocketAddr};

use bincode::Options;
use bytes::Bytes;
use copperwell_message::{Reply, Verdict};
use h2::{Reason, server::SendResponse};
use tokio::net::{TcpListener, TcpStream};

/// What the peer does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Refuses the stream.
    RefuseStream,
    /// Resets the stream.
    ResetStream,
    /// Closes the connection.
    Close,
    /// Answers with bytes that are no message.
    Garbage,
    /// Ends the body before its announced length.
    Short,
    /// Goes on past the announced length.
    Long,
    /// Ends a body of unknown length without trailers.
    Unmarked,
}

/// Starts the peer; it serves one connection.
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
            act(fault, respond);
        }
    });
    address
}

/// What a daemon sends first on a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Sent {
    /// The path, which ends with the version of the messages.
    pub(crate) path: String,
    /// The message.
    pub(crate) message: Bytes,
}

/// Takes in the first stream that a daemon opens.
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

/// Sends the same to another daemon; gives why that one reset the stream, if it did.
pub(crate) async fn send(to: SocketAddr, sent: &Sent) -> Option<Reason> {
    let stream = TcpStream::connect(to).await.unwrap();
    let (mut link, connection) = h2::client::handshake(stream).await.unwrap();
    tokio::spawn(connection);
    let request = http::Request::post(&sent.path).body(()).unwrap();
    let (response, mut body) = link.send_request(request, false).unwrap();
    body.send_data(sent.message.clone(), true).unwrap();
    response.await.err().map(|error| error.reason().unwrap())
}

fn act(fault: Fault, mut respond: SendResponse<Bytes>) {
    let body = match fault {
        Fault::RefuseStream => return respond.send_reset(Reason::REFUSED_STREAM),
        Fault::ResetStream => return respond.send_reset(Reason::INTERNAL_ERROR),
        Fault::Close => return,
        Fault::Garbage => vec![0, 0, 0, 3, 9, 9, 9],
        Fault::Short => answer(Some(10), b"short"),
        Fault::Long => answer(Some(2), b"long"),
        Fault::Unmarked => answer(None, b"whole?"),
    };
    let head = http::Response::new(());
    let mut to = respond.send_response(head, false).unwrap();
    to.send_data(body.into(), true).unwrap();
}

/// The answer's message and body, as a link writes them.
fn answer(length: Option<u64>, body: &[u8]) -> Vec<u8> {
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
