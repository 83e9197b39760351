//! The HTTP client for log and VM list.

use std::{net::SocketAddr, time::Duration};

use crate::{Batch, Error, Log, Vm, VmList};
use bytes::Bytes;
use copperwell_keyspace::{batch::base64_bytes, id::LogOffset, record::SIZE_MAX};
use error_stack::{Report, ResultExt};
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use prometheus_client::metrics::counter::Counter;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::{net::TcpStream, time::timeout};
use tokio_util::io::{InspectReader, InspectWriter};

/// The time in which the platform has to answer, beyond the wait of a read.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The time in which the platform has to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The largest answer that is read, in bytes.
pub const ANSWER_MAX: usize = 8 << 20;

/// The body of an append.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// The record.
    #[serde(with = "base64_bytes")]
    pub bytes: Vec<u8>,
}

/// The answer to an append.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// The record's offset.
    pub offset: LogOffset,
}

/// The answer to a question for the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vms {
    /// The VMs.
    pub vms: Vec<Vm>,
}

/// A client of one platform address.
///
/// Every call has a connection of its own, so a connection that went silent harms one call only.
#[derive(Debug, Clone)]
pub struct Client {
    address: SocketAddr,
    call_timeout: Duration,
    bytes: Counter,
}

impl Client {
    /// A client of the platform at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            call_timeout: CALL_TIMEOUT,
            bytes: Counter::default(),
        }
    }

    /// Counts the bytes of all calls, both ways, in `bytes`.
    #[must_use]
    pub fn with_bytes(mut self, bytes: Counter) -> Self {
        self.bytes = bytes;
        self
    }

    /// Sets the time in which the platform has to answer, beyond the wait of a read.
    #[must_use]
    pub fn with_timeout(mut self, call_timeout: Duration) -> Self {
        self.call_timeout = call_timeout;
        self
    }

    async fn connect(&self) -> Result<http1::SendRequest<Full<Bytes>>, Report<Error>> {
        let connect = async {
            let stream = TcpStream::connect(self.address)
                .await
                .change_context(Error::Unavailable)?;
            let (received, sent) = (self.bytes.clone(), self.bytes.clone());
            let stream = InspectReader::new(stream, move |bytes: &[u8]| {
                received.inc_by(bytes.len() as u64);
            });
            let stream = InspectWriter::new(stream, move |bytes: &[u8]| {
                sent.inc_by(bytes.len() as u64);
            });
            let (sender, connection) = http1::handshake(TokioIo::new(stream))
                .await
                .change_context(Error::Unavailable)?;
            // It ends with the sender; its error shows in the call.
            tokio::spawn(connection);
            Ok(sender)
        };
        timeout(CONNECT_TIMEOUT, connect)
            .await
            .change_context(Error::Unavailable)?
    }

    async fn call<T: DeserializeOwned>(
        &self,
        mut sender: http1::SendRequest<Full<Bytes>>,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<T, Report<Failure>> {
        let exchange = async {
            let response = sender
                .send_request(request)
                .await
                .change_context(Failure::Silent)?;
            let status = response.status();
            let body = Limited::new(response.into_body(), ANSWER_MAX)
                .collect()
                .await
                .map_err(|error| Report::new(Failure::Silent).attach(error.to_string()))?
                .to_bytes();
            if status != StatusCode::OK {
                let text = String::from_utf8_lossy(&body[..body.len().min(200)]).into_owned();
                return Err(Report::new(Failure::Refused(status)).attach(text));
            }
            serde_json::from_slice(&body).change_context(Failure::Malformed)
        };
        timeout(limit, exchange)
            .await
            .change_context(Failure::Silent)?
    }

    /// Reads JSON from a path.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] if no whole answer comes within `limit` after the connection,
    /// [`Error::Invalid`] if it is not the JSON that was expected.
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        path: &str,
        limit: Duration,
    ) -> Result<T, Report<Error>> {
        let request = self.request(Method::GET, path, Bytes::new())?;
        let sender = self.connect().await?;
        let answer = self.call(sender, request, limit).await;
        answer.map_err(|report| {
            let error = match report.current_context() {
                Failure::Malformed => Error::Invalid,
                Failure::Silent | Failure::Refused(_) => Error::Unavailable,
            };
            report.change_context(error)
        })
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, Report<Error>> {
        Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .header(header::CONNECTION, "close")
            .body(Full::new(body))
            .change_context(Error::Invalid)
    }
}

impl Log for Client {
    async fn append(&self, stream: &str, bytes: Vec<u8>) -> Result<LogOffset, Report<Error>> {
        if bytes.len() > SIZE_MAX {
            let text = format!("{} bytes, at most {SIZE_MAX} fit", bytes.len());
            return Err(Report::new(Error::NotAppended).attach(text));
        }
        let body = serde_json::to_vec(&Append { bytes }).change_context(Error::NotAppended)?;
        let request = self
            .request(
                Method::POST,
                &format!("/streams/{stream}/records"),
                body.into(),
            )
            .change_context(Error::NotAppended)?;
        let sender = self.connect().await.change_context(Error::NotAppended)?;
        let answer: Result<Appended, _> = self.call(sender, request, self.call_timeout).await;
        match answer {
            Ok(appended) => Ok(appended.offset),
            Err(report) => {
                let error = match report.current_context() {
                    Failure::Refused(status) if surely_refused(*status) => Error::NotAppended,
                    _ => Error::MaybeAppended,
                };
                Err(report.change_context(error))
            }
        }
    }

    async fn read(
        &self,
        stream: &str,
        from: LogOffset,
        wait: Duration,
    ) -> Result<Batch, Report<Error>> {
        let path = format!(
            "/streams/{stream}/records?from={from}&wait_ms={}",
            wait.as_millis()
        );
        let mut batch: Batch = self.get_json(&path, wait + self.call_timeout).await?;
        // Only daemons hand records on.
        batch.relayed = None;
        check(batch, from)
    }
}

impl VmList for Client {
    async fn list(&self) -> Result<Vec<Vm>, Report<Error>> {
        let answer: Vms = self.get_json("/vms", self.call_timeout).await?;
        Ok(answer.vms)
    }
}

/// Passes a batch on if it can be an answer to a read from `from`.
pub(crate) fn check(batch: Batch, from: LogOffset) -> Result<Batch, Report<Error>> {
    if batch.answers(from) {
        return Ok(batch);
    }
    let text = format!(
        "records from {from} on were asked for, the answer has {} of {}..{}",
        batch.records.len(),
        batch.first,
        batch.next
    );
    Err(Report::new(Error::Invalid).attach(text))
}

/// How a call failed.
#[derive(Debug)]
enum Failure {
    /// No whole answer.
    Silent,
    /// An answer other than 200.
    Refused(StatusCode),
    /// Not the JSON that was expected.
    Malformed,
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Silent => f.write_str("no whole answer"),
            Self::Refused(status) => write!(f, "the answer is {status}"),
            Self::Malformed => f.write_str("the answer is not the JSON that was expected"),
        }
    }
}

impl std::error::Error for Failure {}

/// Whether the interface promises that a request so answered had no effect.
fn surely_refused(status: StatusCode) -> bool {
    status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE
}
