//! The daemon's listening sockets and the addresses derived from them.

use std::{
    io,
    net::SocketAddr,
    time::{SystemTime, UNIX_EPOCH},
};

use crate::{
    daemon::{Error, Listening},
    settings::{Advertise, Settings},
};
use copperwell_keyspace::{Incarnation, Member};
use error_stack::{Report, ResultExt};
use tokio::net::TcpListener;

/// The sockets that the daemon listens on.
pub(crate) struct Listeners {
    pub(crate) callers: TcpListener,
    pub(crate) requests: TcpListener,
    pub(crate) control: TcpListener,
    pub(crate) admin: TcpListener,
}

impl Listeners {
    pub(crate) async fn bind(settings: &Settings) -> Result<Self, Report<Error>> {
        let listen = &settings.listen;
        Ok(Self {
            callers: bind("listen.callers", listen.callers).await?,
            requests: bind("listen.requests", listen.requests).await?,
            control: bind("listen.control", listen.control).await?,
            admin: bind("listen.admin", listen.admin).await?,
        })
    }

    pub(crate) fn listening(&self) -> io::Result<Listening> {
        Ok(Listening {
            callers: self.callers.local_addr()?,
            requests: self.requests.local_addr()?,
            control: self.control.local_addr()?,
            admin: self.admin.local_addr()?,
        })
    }

    /// Returns the daemon as a member with the addresses that other daemons use.
    pub(crate) fn member(&self, settings: &Settings) -> io::Result<Member> {
        let listening = self.listening()?;
        let advertise = settings.advertise.unwrap_or(Advertise {
            requests: listening.requests,
            control: listening.control,
            admin: listening.admin,
        });
        Ok(Member {
            name: settings.name.clone(),
            incarnation: incarnation(),
            data_centre: settings.data_centre.clone(),
            control: advertise.control,
            requests: advertise.requests,
            admin: advertise.admin,
        })
    }
}

async fn bind(field: &str, address: SocketAddr) -> Result<TcpListener, Report<Error>> {
    TcpListener::bind(address)
        .await
        .change_context(Error)
        .attach_with(|| {
            format!(
                "{field}: cannot listen on {address}; free the address or configure another one"
            )
        })
}

/// Returns the wall-clock time as the incarnation, since a VM has no persistent storage for a
/// counter.
fn incarnation() -> Incarnation {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}
