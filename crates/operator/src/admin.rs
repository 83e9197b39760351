//! Asks daemons about themselves.

use std::{net::SocketAddr, time::Duration};

use crate::{
    query::encode,
    status::{EXPLAIN_PATH, Explanation, STATUS_PATH, Status},
};
use copperwell_log::{Error, http};
use error_stack::Report;

/// How long a daemon may take to answer.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// A client of a daemon's admin endpoint.
#[derive(Debug, Clone)]
pub struct Client {
    http: http::Client,
}

impl Client {
    /// A client of the daemon whose admin endpoint is at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            http: http::Client::new(address),
        }
    }

    /// What the daemon tells of itself.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] or [`Error::Invalid`].
    pub async fn status(&self) -> Result<Status, Report<Error>> {
        self.http.get_json(STATUS_PATH, ANSWER_TIMEOUT).await
    }

    /// Where a key's requests go, by this daemon's knowledge.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] or [`Error::Invalid`].
    pub async fn explain(&self, service: &str, key: &str) -> Result<Explanation, Report<Error>> {
        let (service, key) = (encode(service), encode(key));
        let path = format!("{EXPLAIN_PATH}?service={service}&key={key}");
        self.http.get_json(&path, ANSWER_TIMEOUT).await
    }
}
