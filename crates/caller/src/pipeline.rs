//! Requests that a caller sends before the last one is answered.
//!
//! The HTTP library serves a connection's requests one after the other, so a request would be late for
//! no other reason than the one before it. [`Ahead`] reads along: it finds the heads of waiting requests
//! among the bytes that the library gets, begins those that may run more than once, and keeps their
//! answers until the library comes to them. Answers leave in the order of requests, as before.
//!
//! Whatever cannot be told apart for sure is left to the library: from the first request with a body on,
//! nothing on that connection is begun early.

use std::{
    collections::VecDeque,
    net::IpAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use crate::{body::Answer, server::Handler};
use bytes::{Buf, BytesMut};
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Response, Uri, Version,
    header::{CONNECTION, CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING, UPGRADE},
    request::Parts,
};
use hyper::body::{Body as _, Incoming};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    sync::Notify,
};
use tokio_util::{sync::CancellationToken, task::AbortOnDropHandle};

/// Requests of one connection that are begun before the library comes to them, at most.
const BEGUN_MAX: usize = 16;

/// Bytes that the library has not come to yet, at most, for heads to be looked for in them.
const UNSERVED_MAX: usize = 64 << 10;

/// The bytes that are read from a caller at a time.
const READ_BYTES: usize = 4 << 10;

/// Fields of requests that have a body, or after which the connection may be another one's.
const DECISIVE: [HeaderName; 5] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// The requests of one connection.
#[derive(Debug)]
pub(crate) struct Ahead<H> {
    handler: Arc<H>,
    caller: IpAddr,
    /// The most header fields of a request.
    headers: usize,
    line: Mutex<Line>,
    taken: Notify,
}

/// What is known of the requests that wait.
#[derive(Debug)]
struct Line {
    /// The bytes from the head of the next request on to which the library comes; `None` once heads
    /// cannot be told from other bytes.
    unserved: Option<BytesMut>,
    /// The requests that were begun; their heads are the first of these bytes.
    begun: VecDeque<Begun>,
    /// Whether the library waits for an answer.
    is_serving: bool,
    /// Whether the next head is one that is not begun early.
    is_blocked: bool,
    is_closing: bool,
}

/// A request that was begun early.
#[derive(Debug)]
struct Begun {
    head: Parts,
    /// The length of its head, in bytes.
    length: usize,
    /// Dropped, it cancels the request.
    answer: AbortOnDropHandle<Response<Answer>>,
}

impl<H: Handler> Ahead<H> {
    /// The requests of a connection that `caller` opened, with at most `headers` header fields each.
    pub(crate) fn new(handler: Arc<H>, caller: IpAddr, headers: usize) -> Self {
        let line = Line {
            unserved: Some(BytesMut::new()),
            begun: VecDeque::new(),
            is_serving: false,
            is_blocked: false,
            is_closing: false,
        };
        Self {
            handler,
            caller,
            headers,
            line: Mutex::new(line),
            taken: Notify::new(),
        }
    }

    /// Reads what the caller sends and gives it to the library, until the caller sends no more.
    pub(crate) async fn read(
        &self,
        mut caller: impl AsyncRead + Unpin,
        mut library: impl AsyncWrite + Unpin,
    ) {
        let mut bytes = BytesMut::with_capacity(READ_BYTES);
        // Any failure ends the connection for the library, too.
        while let Ok(1..) = caller.read_buf(&mut bytes).await {
            self.observe(&bytes);
            if library.write_all(&bytes).await.is_err() {
                break;
            }
            bytes.clear();
        }
        let _ = library.shutdown().await;
    }

    /// Serves the request to which the library has come.
    pub(crate) async fn serve(&self, request: Request<Incoming>) -> Response<Answer> {
        let begun = self.take(&request);
        self.begin();
        let early = match begun {
            Some(begun) => begun.answer.await.ok(),
            None => None,
        };
        let mut answer = match early {
            Some(answer) => answer,
            None => {
                let request = request.map(|body| (!body.is_end_stream()).then_some(body));
                self.handler.handle(request, self.caller).await
            }
        };
        let is_last = self.end();
        if is_last && self.handler.is_stopping() {
            let headers = answer.headers_mut();
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }

    /// Whether a request was begun whose answer the library has not got.
    pub(crate) fn is_busy(&self) -> bool {
        let line = self.line();
        line.is_serving || !line.begun.is_empty()
    }

    /// Resolves once `shutdown` was asked for and the connection can close after the request that is
    /// served, since no other one was begun.
    pub(crate) async fn may_close(&self, shutdown: &CancellationToken) {
        shutdown.cancelled().await;
        self.line().is_closing = true;
        while !self.line().begun.is_empty() {
            self.taken.notified().await;
        }
    }

    /// Takes in bytes that the library is about to get.
    fn observe(&self, bytes: &[u8]) {
        let mut line = self.line();
        let Some(unserved) = &mut line.unserved else {
            return;
        };
        if unserved.len() + bytes.len() > UNSERVED_MAX {
            line.unserved = None;
            return;
        }
        unserved.extend_from_slice(bytes);
        drop(line);
        self.begin();
    }

    /// Begins requests that wait behind the one that is served.
    fn begin(&self) {
        let mut line = self.line();
        let may_begin = line.is_serving && !line.is_closing && !self.handler.is_stopping();
        while may_begin && let Some((head, length)) = line.next_head(self.headers) {
            if !is_bare(head.version, &head.headers) || !self.handler.may_begin_early(&head) {
                line.is_blocked = true;
                return;
            }
            let (handler, caller) = (self.handler.clone(), self.caller);
            let request = Request::from_parts(head.clone(), None);
            let task = tokio::spawn(async move { handler.handle(request, caller).await });
            line.begun.push_back(Begun {
                head,
                length,
                answer: AbortOnDropHandle::new(task),
            });
        }
    }

    /// Notes to which request the library has come; gives it if it was begun.
    fn take(&self, request: &Request<Incoming>) -> Option<Begun> {
        let mut line = self.line();
        line.is_serving = true;
        line.is_blocked = false;
        let begun = line.begun.pop_front();
        self.taken.notify_one();
        let is_bare = is_bare(request.version(), request.headers());
        let is_same = begun.as_ref().is_none_or(|begun| begun.is(request));
        let length = match &begun {
            Some(begun) => Some(begun.length),
            None => line.head_length(request.method(), self.headers),
        };
        match (length, &mut line.unserved) {
            (Some(length), Some(unserved)) if is_bare && is_same => unserved.advance(length),
            _ => {
                line.unserved = None;
                line.begun.clear();
            }
        }
        begun.filter(|_| is_same)
    }

    /// Notes that the request is answered; tells whether no other one was begun.
    fn end(&self) -> bool {
        let mut line = self.line();
        line.is_serving = false;
        line.begun.is_empty()
    }

    fn line(&self) -> MutexGuard<'_, Line> {
        self.line.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Line {
    /// The first head that was not begun and its length, if it is all there and another one may begin.
    fn next_head(&self, headers: usize) -> Option<(Parts, usize)> {
        if self.is_blocked || self.begun.len() >= BEGUN_MAX {
            return None;
        }
        let read: usize = self.begun.iter().map(|begun| begun.length).sum();
        head(self.unserved.as_ref()?.get(read..)?, headers)
    }

    /// The length of the first head, which is that of a request with `method`.
    fn head_length(&self, method: &Method, headers: usize) -> Option<usize> {
        let bytes = self.unserved.as_ref()?;
        let mut fields = vec![httparse::EMPTY_HEADER; headers];
        let mut parsed = httparse::Request::new(&mut fields);
        let status = parsed.parse(bytes).ok()?;
        let is_same = parsed.method == Some(method.as_str());
        is_same.then_some(status).and_then(complete)
    }
}

impl Begun {
    /// Whether it is the request to which the library has come.
    fn is(&self, request: &Request<Incoming>) -> bool {
        self.head.method == *request.method()
            && self.head.uri == *request.uri()
            && self.head.headers == *request.headers()
    }
}

/// The first head among `bytes` and its length, if it is all there.
fn head(bytes: &[u8], headers: usize) -> Option<(Parts, usize)> {
    let mut fields = vec![httparse::EMPTY_HEADER; headers];
    let mut parsed = httparse::Request::new(&mut fields);
    let length = complete(parsed.parse(bytes).ok()?)?;
    let (mut parts, ()) = Request::new(()).into_parts();
    parts.method = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    parts.uri = Uri::try_from(parsed.path?).ok()?;
    parts.version = match parsed.version? {
        1 => Version::HTTP_11,
        _ => Version::HTTP_10,
    };
    for field in parsed.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(field.value).ok()?;
        parts.headers.append(name, value);
    }
    Some((parts, length))
}

fn complete(status: httparse::Status<usize>) -> Option<usize> {
    match status {
        httparse::Status::Complete(length) => Some(length),
        httparse::Status::Partial => None,
    }
}

/// Whether a request ends with its head and leaves the connection as it is.
fn is_bare(version: Version, headers: &HeaderMap) -> bool {
    version == Version::HTTP_11 && DECISIVE.iter().all(|name| !headers.contains_key(name))
}
