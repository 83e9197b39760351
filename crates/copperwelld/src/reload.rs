//! Reloads the settings file while the gateway runs.

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

/// The interval between checks of the file, which may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The settings in force and the components that reloaded settings are applied to.
pub(crate) struct Reload {
    settings: Mutex<Settings>,
    view: Arc<View>,
    store: Arc<Store>,
}

/// The metadata of a file that changes whenever it is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FileStamp {
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

    /// Returns the grace period between SIGTERM and SIGKILL.
    pub(crate) fn grace(&self) -> Duration {
        self.settings().grace
    }

    /// Reloads the file on each SIGHUP and after each change, and never returns.
    pub(crate) async fn run(self: Arc<Self>, path: PathBuf) {
        let mut hangup_signals = signal(SignalKind::hangup()).ok();
        if hangup_signals.is_none() {
            warn!("failed to install the SIGHUP handler", kv: { event = "reload-off" });
        }
        // The file may have changed since the daemon read it, so the first check reloads it.
        let mut last_stamp = None;
        loop {
            let is_signalled = tokio::select! {
                () = next_hangup(&mut hangup_signals) => true,
                () = sleep(POLL_INTERVAL) => false,
            };
            let stamp = file_stamp(&path);
            if is_signalled || stamp != last_stamp {
                last_stamp = stamp;
                self.read(&path, is_signalled);
            }
        }
    }

    /// Applies the settings that can change at run time; invalid settings change nothing.
    fn read(&self, path: &Path, is_signalled: bool) {
        let newer = match Settings::load(path) {
            Ok(settings) => settings,
            Err(report) => {
                warn!("failed to reload the settings; the previous ones stay in force", kv: { event = "reload-failed", report:? });
                return;
            }
        };
        let mut settings = self.settings();
        let difference = settings.difference(&newer);
        if is_signalled || newer != *settings {
            let taken = difference.taken.join("; ");
            let needs_start = difference.needs_start.join("; ");
            info!("reloaded the settings", kv: { event = "reload", taken, needs_start });
        }
        self.store.set_address(newer.store);
        self.view.set_allowance(newer.allowance);
        self.view.set_warmup_allowance(newer.warmup);
        self.view.set_drain(newer.drain);
        self.view.set_regions(newer.regions.clone());
        *settings = newer;
    }

    fn settings(&self) -> MutexGuard<'_, Settings> {
        self.settings.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Waits for the next SIGHUP, or forever if there is no signal handler.
async fn next_hangup(hangup_signals: &mut Option<Signal>) {
    let received = match hangup_signals {
        Some(hangup_signals) => hangup_signals.recv().await,
        None => None,
    };
    if received.is_none() {
        std::future::pending::<()>().await;
    }
}

/// Returns the stamp of a file, or `None` if its metadata cannot be read.
fn file_stamp(path: &Path) -> Option<FileStamp> {
    let metadata = fs::metadata(path).ok()?;
    Some(FileStamp {
        modified: metadata.modified().ok()?,
        length: metadata.len(),
    })
}
