//! Takes changes of the settings file while the gateway runs.

use std::{
    fs,
    path::{Path, PathBuf},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, SystemTime},
};

use copperwell_gateway::View;
use copperwell_platform::{Settings, Store};
use spdlog::{info, warn};
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time::sleep,
};

/// How often the file is looked at; it may change without a signal.
const LOOK: Duration = Duration::from_secs(1);

/// The settings in force, and what goes by them.
pub(crate) struct Reload {
    settings: Mutex<Settings>,
    view: Arc<View>,
    store: Arc<Store>,
}

/// What changes whenever a file is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Stamp {
    modified: SystemTime,
    length: u64,
}

impl Reload {
    pub(crate) fn new(settings: Settings, view: Arc<View>, store: Arc<Store>) -> Self {
        Self {
            settings: Mutex::new(settings),
            view,
            store,
        }
    }

    /// The time between SIGTERM and SIGKILL.
    pub(crate) fn grace(&self) -> Duration {
        self.settings().grace
    }

    /// Reads the file again at each SIGHUP and whenever it was written, for ever.
    pub(crate) async fn run(self: Arc<Self>, path: PathBuf) {
        let mut hangups = signal(SignalKind::hangup()).ok();
        if hangups.is_none() {
            warn!("cannot listen for SIGHUP", kv: { event = "reload-off" });
        }
        // The file may have been written since the daemon read it, so the first look reads it.
        let mut read = None;
        loop {
            let is_asked = tokio::select! {
                () = hangup(&mut hangups) => true,
                () = sleep(LOOK) => false,
            };
            let stamp = stamp_of(&path);
            if is_asked || stamp != read {
                read = stamp;
                self.read(&path, is_asked);
            }
        }
    }

    /// Takes what can be taken; settings that cannot be used change nothing.
    fn read(&self, path: &Path, is_asked: bool) {
        let newer = match Settings::load(path) {
            Ok(settings) => settings,
            Err(report) => {
                warn!("settings cannot be used; the earlier ones stay in force", kv: { event = "reload-failed", report:? });
                return;
            }
        };
        let mut settings = self.settings();
        let difference = settings.difference(&newer);
        if is_asked || newer != *settings {
            let taken = difference.taken.join("; ");
            let needs_start = difference.needs_start.join("; ");
            info!("settings were read again", kv: { event = "reload", taken, needs_start });
        }
        self.store.set_address(newer.store);
        self.view.set_allowance(newer.allowance);
        *settings = newer;
    }

    fn settings(&self) -> MutexGuard<'_, Settings> {
        self.settings.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Resolves at the next SIGHUP; never if none can be heard.
async fn hangup(hangups: &mut Option<Signal>) {
    let heard = match hangups {
        Some(hangups) => hangups.recv().await,
        None => None,
    };
    if heard.is_none() {
        std::future::pending::<()>().await;
    }
}

/// The stamp of a file; `None` if there is none.
fn stamp_of(path: &Path) -> Option<Stamp> {
    let data = fs::metadata(path).ok()?;
    Some(Stamp {
        modified: data.modified().ok()?,
        length: data.len(),
    })
}
