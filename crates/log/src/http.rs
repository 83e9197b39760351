//! The HTTP client of the platform's log and VM list.

use std::{net::SocketAddr, time::Duration};

use crate::{Batch, Error, Log, Vm, VmList};
use bytes::Bytes;
use copperwell_keyspace::{batch::base64_bytes, id::LogOffset, record::SIZE_MAX};
use copperwell_progress::{Allowance, Opened, Sender};
use error_stack::{Report, ResultExt};
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use prometheus_client::metrics::counter::Counter;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::{net::TcpStream, time::timeout};
use tokio_util::io::{InspectReader, InspectWriter};

/// How long the platform may take to respond, in addition to the wait of a read.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the platform may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The largest response body that is read, in bytes.
pub const RESPONSE_SIZE_MAX: usize = 8 << 20;

/// The request body of an append.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// The encoded record.
    #[serde(with = "base64_bytes")]
    pub bytes: Vec<u8>,
}

/// The response to an append.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// The record's offset.
    pub offset: LogOffset,
}

/// The response to a request for the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vms {
    /// All VMs that the platform lists.
    pub vms: Vec<Vm>,
}

/// An open connection for one call.
struct Connection {
    sender: Sender<Full<Bytes>>,
    allowance: Allowance,
}

/// A client of the platform at one address.
///
/// Every call opens its own connection, so that an unresponsive connection fails one call only.
#[derive(Debug, Clone)]
pub struct Client {
    address: SocketAddr,
    call_timeout: Duration,
    byte_counter: Counter,
}

impl Client {
    /// Creates a client of the platform at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            call_timeout: CALL_TIMEOUT,
            byte_counter: Counter::default(),
        }
    }

    /// Sets the counter of the bytes that all calls send and receive.
    #[must_use]
    pub fn with_bytes(mut self, byte_counter: Counter) -> Self {
        self.byte_counter = byte_counter;
        self
    }

    /// Sets how long the platform may take to respond, in addition to the wait of a read.
    #[must_use]
    pub fn with_timeout(mut self, call_timeout: Duration) -> Self {
        self.call_timeout = call_timeout;
        self
    }

    async fn connect(&self) -> Result<Connection, Report<Error>> {
        let connect = async {
            let stream = TcpStream::connect(self.address)
                .await
                .change_context(Error::Unavailable)?;
            let (received, sent) = (self.byte_counter.clone(), self.byte_counter.clone());
            let stream = InspectReader::new(stream, move |bytes: &[u8]| {
                received.inc_by(bytes.len() as u64);
            });
            let stream = InspectWriter::new(stream, move |bytes: &[u8]| {
                sent.inc_by(bytes.len() as u64);
            });
            let opened = copperwell_progress::handshake(stream).await;
            let Opened {
                sender,
                connection,
                allowance,
            } = opened.change_context(Error::Unavailable)?;
            // The task ends when the sender is dropped; a connection error also fails the call.
            tokio::spawn(connection);
            Ok(Connection { sender, allowance })
        };
        timeout(CONNECT_TIMEOUT, connect)
            .await
            .change_context(Error::Unavailable)?
    }

    async fn call<T: DeserializeOwned>(
        &self,
        connection: Connection,
        request: Request<Full<Bytes>>,
        time_limit: Duration,
    ) -> Result<T, Report<Failure>> {
        let Connection {
            mut sender,
            allowance,
        } = connection;
        let exchange = async {
            allowance.renew();
            let response = sender
                .send_request(request)
                .await
                .change_context(Failure::NoResponse)?;
            let status = response.status();
            let body = Limited::new(allowance.answer(response.into_body()), RESPONSE_SIZE_MAX)
                .collect()
                .await
                .map_err(|error| Report::new(Failure::NoResponse).attach(error.to_string()))?
                .to_bytes();
            if status != StatusCode::OK {
                let text = String::from_utf8_lossy(&body[..body.len().min(200)]).into_owned();
                return Err(Report::new(Failure::Rejected(status)).attach(text));
            }
            serde_json::from_slice(&body).change_context(Failure::Malformed)
        };
        timeout(time_limit, exchange)
            .await
            .change_context(Failure::NoResponse)?
    }

    /// Requests a path and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] if no complete response with status 200 arrives within `time_limit`
    /// of the connection, [`Error::Invalid`] if its body is not the expected JSON.
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        path: &str,
        time_limit: Duration,
    ) -> Result<T, Report<Error>> {
        let request = self.request(Method::GET, path, Bytes::new())?;
        let connection = self.connect().await?;
        let response = self.call(connection, request, time_limit).await;
        response.map_err(|report| {
            let error = match report.current_context() {
                Failure::Malformed => Error::Invalid,
                Failure::NoResponse | Failure::Rejected(_) => Error::Unavailable,
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
            let text = format!(
                "the record has {} bytes; the limit is {SIZE_MAX}",
                bytes.len()
            );
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
        let connection = self.connect().await.change_context(Error::NotAppended)?;
        let response: Result<Appended, _> = self.call(connection, request, self.call_timeout).await;
        match response {
            Ok(appended) => Ok(appended.offset),
            Err(report) => {
                let error = match report.current_context() {
                    Failure::Rejected(status) if guarantees_no_effect(*status) => {
                        Error::NotAppended
                    }
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
        // Only daemons relay records; the platform must not claim to.
        batch.relayed = None;
        check(batch, from)
    }
}

impl VmList for Client {
    async fn list(&self) -> Result<Vec<Vm>, Report<Error>> {
        let response: Vms = self.get_json("/vms", self.call_timeout).await?;
        Ok(response.vms)
    }
}

/// Returns the batch if it is a valid response to a read from `from`.
pub(crate) fn check(batch: Batch, from: LogOffset) -> Result<Batch, Report<Error>> {
    if batch.is_answer_to(from) {
        return Ok(batch);
    }
    let text = format!(
        "the response to a read from offset {from} has {} records of {}..{}",
        batch.records.len(),
        batch.first,
        batch.next
    );
    Err(Report::new(Error::Invalid).attach(text))
}

/// Why a call failed after the connection was established.
#[derive(Debug)]
enum Failure {
    /// No complete response arrived in time.
    NoResponse,
    /// The response has a status other than 200.
    Rejected(StatusCode),
    /// The response body is not the expected JSON.
    Malformed,
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NoResponse => f.write_str("no complete response"),
            Self::Rejected(status) => write!(f, "the response has status {status}"),
            Self::Malformed => f.write_str("the response body is not the expected JSON"),
        }
    }
}

impl std::error::Error for Failure {}

/// Whether the platform's interface guarantees that a request with this status had no effect.
fn guarantees_no_effect(status: StatusCode) -> bool {
    status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE
}
