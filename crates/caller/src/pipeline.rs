//! HTTP pipelining: runs requests that a caller sends before the previous response is complete.
//!
//! The HTTP library serves the requests of a connection one after the other, so a slow request
//! delays all requests behind it. [`Pipeline`] parses the heads of queued requests from the bytes
//! on their way to the library, starts those that may run more than once, and keeps their responses
//! until the library reaches them. Responses are still sent in the order of the requests.
//!
//! Heads that cannot be located reliably are left to the library: from the first request with a
//! body on, no request of that connection is started early.

use std::{
    collections::VecDeque,
    net::IpAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use crate::{body::ResponseBody, server::Handler};
use bytes::{Buf, BytesMut};
use copperwell_message::Incomplete;
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

/// The maximum number of requests of one connection that are started before the library reaches
/// them.
const EARLY_REQUESTS_MAX: usize = 16;

/// The maximum number of unserved bytes that are buffered to parse heads from.
const UNSERVED_MAX_BYTES: usize = 64 << 10;

/// The largest response that is read whole before it is sent because others wait behind it, in bytes.
const READ_WHOLE_MAX_BYTES: usize = 64 << 10;

/// The size of the buffer for reads from a caller.
const READ_BYTES: usize = 4 << 10;

/// Header fields that announce a body or may change the state or the protocol of the connection.
const NON_PIPELINED_FIELDS: [HeaderName; 5] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// The pipelined requests of one connection.
#[derive(Debug)]
pub(crate) struct Pipeline<H> {
    handler: Arc<H>,
    caller: IpAddr,
    /// The maximum number of header fields of a request.
    headers_max: usize,
    state: Mutex<State>,
    /// Notified when the library reaches a request.
    dequeued: Notify,
}

/// The queued requests of one connection.
#[derive(Debug)]
struct State {
    /// The bytes from the head of the request that the library reaches next; `None` once the start
    /// of the next head is unknown.
    unserved: Option<BytesMut>,
    /// The requests that were started early; `unserved` begins with their heads.
    early: VecDeque<EarlyRequest>,
    /// Whether the library waits for a response.
    is_serving: bool,
    /// Whether the next request may not start early, which holds back those behind it, too.
    is_blocked: bool,
    /// Whether a shutdown was requested, after which no request is started early.
    is_closing: bool,
}

/// A request that was started early.
#[derive(Debug)]
struct EarlyRequest {
    head: Parts,
    /// The length of the head, in bytes.
    length: usize,
    /// The task that produces the response; dropping it cancels the request.
    response: AbortOnDropHandle<Response<ResponseBody>>,
}

impl<H: Handler> Pipeline<H> {
    /// Creates the pipeline of a connection from `caller`; requests may have up to `headers_max`
    /// header fields.
    pub(crate) fn new(handler: Arc<H>, caller: IpAddr, headers_max: usize) -> Self {
        let state = State {
            unserved: Some(BytesMut::new()),
            early: VecDeque::new(),
            is_serving: false,
            is_blocked: false,
            is_closing: false,
        };
        Self {
            handler,
            caller,
            headers_max,
            state: Mutex::new(state),
            dequeued: Notify::new(),
        }
    }

    /// Forwards bytes from the caller to the library until the caller stops sending.
    pub(crate) async fn forward(
        &self,
        mut caller: impl AsyncRead + Unpin,
        mut library: impl AsyncWrite + Unpin,
    ) {
        let mut bytes = BytesMut::with_capacity(READ_BYTES);
        // Any read error ends the input of the library, as the end of the stream does.
        while let Ok(1..) = caller.read_buf(&mut bytes).await {
            self.buffer(&bytes);
            if library.write_all(&bytes).await.is_err() {
                break;
            }
            bytes.clear();
        }
        let _ = library.shutdown().await;
    }

    /// Returns the response to the request that the library has reached.
    pub(crate) async fn serve(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let early = self.dequeue(&request);
        self.start_queued();
        let early_response = match early {
            Some(early) => early.response.await.ok(),
            None => None,
        };
        let mut response = match early_response {
            Some(response) => response,
            None => {
                let request = request.map(|body| (!body.is_end_stream()).then_some(body));
                self.handler.handle(request, self.caller).await
            }
        };
        if self.has_early() {
            response = self.read_whole(response).await;
        }
        let is_last = self.finish();
        if is_last && self.handler.is_stopping() {
            let headers = response.headers_mut();
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Reads a response whole before it is sent, unless it is long: if it broke off on the way, the connection would end,
    /// and with it the responses to the requests that were started behind it.
    async fn read_whole(&self, response: Response<ResponseBody>) -> Response<ResponseBody> {
        let (head, body) = response.into_parts();
        match body
            .read_within(READ_WHOLE_MAX_BYTES, &self.handler.budget())
            .await
        {
            Ok(body) => Response::from_parts(head, body),
            Err(Incomplete) => self.handler.broken_off(&head),
        }
    }

    /// Returns whether requests were started behind the one that the library serves.
    fn has_early(&self) -> bool {
        !self.state().early.is_empty()
    }

    /// Returns whether a request was started whose response the library does not have yet.
    pub(crate) fn is_busy(&self) -> bool {
        let state = self.state();
        state.is_serving || !state.early.is_empty()
    }

    /// Resolves once `shutdown` was requested and no early request is left, so that the connection
    /// can close after the request that the library serves.
    pub(crate) async fn wait_until_closable(&self, shutdown: &CancellationToken) {
        shutdown.cancelled().await;
        self.state().is_closing = true;
        while !self.state().early.is_empty() {
            self.dequeued.notified().await;
        }
    }

    /// Buffers bytes that are about to reach the library and starts requests with complete heads.
    fn buffer(&self, bytes: &[u8]) {
        let mut state = self.state();
        let Some(unserved) = &mut state.unserved else {
            return;
        };
        if unserved.len() + bytes.len() > UNSERVED_MAX_BYTES {
            state.unserved = None;
            return;
        }
        unserved.extend_from_slice(bytes);
        drop(state);
        self.start_queued();
    }

    /// Starts requests that are queued behind the one that the library serves.
    fn start_queued(&self) {
        let mut state = self.state();
        let may_start = state.is_serving && !state.is_closing && !self.handler.is_stopping();
        while may_start && let Some((head, length)) = state.next_head(self.headers_max) {
            if !is_pipelinable(head.version, &head.headers) || !self.handler.may_start_early(&head)
            {
                state.is_blocked = true;
                return;
            }
            let (handler, caller) = (self.handler.clone(), self.caller);
            let request = Request::from_parts(head.clone(), None);
            let task = tokio::spawn(async move { handler.handle(request, caller).await });
            state.early.push_back(EarlyRequest {
                head,
                length,
                response: AbortOnDropHandle::new(task),
            });
        }
    }

    /// Records that the library has reached `request`; returns the early request if it was started.
    fn dequeue(&self, request: &Request<Incoming>) -> Option<EarlyRequest> {
        let mut state = self.state();
        state.is_serving = true;
        state.is_blocked = false;
        let early = state.early.pop_front();
        self.dequeued.notify_one();
        let is_pipelinable = is_pipelinable(request.version(), request.headers());
        let is_same = early.as_ref().is_none_or(|early| early.matches(request));
        let length = match &early {
            Some(early) => Some(early.length),
            None => state.head_length(request.method(), self.headers_max),
        };
        match (length, &mut state.unserved) {
            (Some(length), Some(unserved)) if is_pipelinable && is_same => unserved.advance(length),
            _ => {
                state.unserved = None;
                state.early.clear();
            }
        }
        early.filter(|_| is_same)
    }

    /// Records the end of the request that the library serves; returns whether no early request is
    /// left.
    fn finish(&self) -> bool {
        let mut state = self.state();
        state.is_serving = false;
        state.early.is_empty()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Returns the first head behind the early requests and its length, if the head is complete and
    /// another request may start.
    fn next_head(&self, headers_max: usize) -> Option<(Parts, usize)> {
        if self.is_blocked || self.early.len() >= EARLY_REQUESTS_MAX {
            return None;
        }
        let parsed: usize = self.early.iter().map(|early| early.length).sum();
        parse_head(self.unserved.as_ref()?.get(parsed..)?, headers_max)
    }

    /// Returns the length of the first head, if it is complete and has this `method`.
    fn head_length(&self, method: &Method, headers_max: usize) -> Option<usize> {
        let bytes = self.unserved.as_ref()?;
        let mut fields = vec![httparse::EMPTY_HEADER; headers_max];
        let mut parsed = httparse::Request::new(&mut fields);
        let status = parsed.parse(bytes).ok()?;
        let is_same = parsed.method == Some(method.as_str());
        is_same.then_some(status).and_then(complete_length)
    }
}

impl EarlyRequest {
    /// Returns whether this is the `request` that the library has reached.
    fn matches(&self, request: &Request<Incoming>) -> bool {
        self.head.method == *request.method()
            && self.head.uri == *request.uri()
            && self.head.headers == *request.headers()
    }
}

/// Parses the head at the start of `bytes`; returns it and its length if it is complete and valid.
fn parse_head(bytes: &[u8], headers_max: usize) -> Option<(Parts, usize)> {
    let mut fields = vec![httparse::EMPTY_HEADER; headers_max];
    let mut parsed = httparse::Request::new(&mut fields);
    let length = complete_length(parsed.parse(bytes).ok()?)?;
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

fn complete_length(status: httparse::Status<usize>) -> Option<usize> {
    match status {
        httparse::Status::Complete(length) => Some(length),
        httparse::Status::Partial => None,
    }
}

/// Returns whether a request has no body and leaves the connection open for the next request.
fn is_pipelinable(version: Version, headers: &HeaderMap) -> bool {
    version == Version::HTTP_11
        && NON_PIPELINED_FIELDS
            .iter()
            .all(|name| !headers.contains_key(name))
}
