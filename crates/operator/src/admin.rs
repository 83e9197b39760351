//! Client of the daemons' admin endpoint.

use std::{net::SocketAddr, time::Duration};

use crate::{
    query::encode,
    status::{EXPLAIN_PATH, Explanation, STATUS_PATH, Status},
};
use copperwell_log::{Error, http};
use error_stack::Report;

/// How long a daemon may take to respond.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// A client of a daemon's admin endpoint.
#[derive(Debug, Clone)]
pub struct Client {
    http: http::Client,
}

impl Client {
    /// Creates a client of the admin endpoint at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            http: http::Client::new(address),
        }
    }

    /// Requests the status of the daemon.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] if there is no complete response, [`Error::Invalid`] if it is
    /// malformed.
    pub async fn status(&self) -> Result<Status, Report<Error>> {
        self.http.get_json(STATUS_PATH, RESPONSE_TIMEOUT).await
    }

    /// Requests an explanation of where the daemon routes the requests for a key.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] if there is no complete response, [`Error::Invalid`] if it is
    /// malformed.
    pub async fn explain(&self, service: &str, key: &str) -> Result<Explanation, Report<Error>> {
        let (service, key) = (encode(service), encode(key));
        let path = format!("{EXPLAIN_PATH}?service={service}&key={key}");
        self.http.get_json(&path, RESPONSE_TIMEOUT).await
    }
}
