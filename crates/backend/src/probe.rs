//! Finds out whether a server can be reached, and whether its process has ended.

use std::{io::ErrorKind, net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

/// How long a new connection must stay open to count as opened.
const STAY_OPEN: Duration = Duration::from_millis(100);

/// Opens a connection to `address`, and returns whether no process listens there.
///
/// A connection that is not answered within `limit`, or fails in another way, proves nothing.
pub async fn is_refused(address: SocketAddr, limit: Duration) -> bool {
    let connected = timeout(limit, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}

/// Opens a connection to `address`, and returns whether that took at most `limit` and the connection stayed open.
pub async fn is_reachable(address: SocketAddr, limit: Duration) -> bool {
    let Ok(Ok(stream)) = timeout(limit, TcpStream::connect(address)).await else {
        return false;
    };
    // An error is harmless: without the option, the server only hears of the end later.
    let _ = stream.set_zero_linger();
    let mut byte = [0];
    // A server says nothing before it is asked, so whatever arrives is the end.
    let ended = timeout(STAY_OPEN, stream.peek(&mut byte)).await;
    ended.is_err()
}

/// What a server does on a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// It answers, whatever it says.
    Answered,
    /// No connection could be opened, or it ended without an answer.
    Unreachable,
    /// The connection opens, and no answer arrives in time.
    Silent,
}

/// Opens a connection to `address` within `limit`, and asks for `path` there; the answer may take `answer_limit`.
pub async fn ask(
    address: SocketAddr,
    path: &str,
    limit: Duration,
    answer_limit: Duration,
) -> Answer {
    let Ok(Ok(mut stream)) = timeout(limit, TcpStream::connect(address)).await else {
        return Answer::Unreachable;
    };
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    let mut byte = [0];
    let exchange = async {
        stream.write_all(request.as_bytes()).await?;
        stream.read(&mut byte).await
    };
    match timeout(answer_limit, exchange).await {
        Ok(Ok(1..)) => Answer::Answered,
        Ok(_) => Answer::Unreachable,
        Err(_) => Answer::Silent,
    }
}
