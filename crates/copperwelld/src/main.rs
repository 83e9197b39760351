//! The command line of the entry daemon.

use std::{
    future::Future,
    path::{Path, PathBuf},
    process::ExitCode,
};

use bpaf::Bpaf;
use copperwell_platform::settings;
use copperwelld::{
    daemon::Daemon,
    gateway,
    log::{self, Format},
    settings::Settings,
};
use spdlog::{critical, info};
use tokio::{
    runtime::{self, Runtime},
    signal::unix::{Signal, SignalKind, signal},
};

/// The exit code for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// The exit code of a daemon that failed to start or was stopped at once.
const EXIT_FAILED: u8 = 1;

/// Routes requests to servers that own keys exclusively.
///
/// SIGTERM hands leadership over and finishes requests in flight; a second one stops at once.
/// Exit codes: 0 stopped, 1 failed to start or stopped at once, 2 unusable settings.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Args {
    /// Runs on the users' platform, whose settings file and store it reads.
    #[bpaf(command)]
    Gateway {
        /// Settings file in the platform's format; without it, the one that the platform names.
        #[bpaf(long, argument("FILE"))]
        settings: Option<PathBuf>,
        /// One more port for metrics, readiness and status, at the address for callers.
        #[bpaf(long, argument("PORT"))]
        metrics_port: Option<u16>,
        /// Check the settings and exit.
        #[bpaf(long)]
        check: bool,
    },
    Entry {
        /// Settings file in YAML.
        #[bpaf(long, argument("FILE"))]
        settings: PathBuf,
        /// Check the settings and exit.
        #[bpaf(long)]
        check: bool,
        /// Shape of log lines on standard error: `text` or `json`.
        #[bpaf(long, argument("FORMAT"), fallback(Format::Text))]
        log_format: Format,
    },
}

fn main() -> ExitCode {
    match args().run() {
        Args::Gateway {
            settings,
            metrics_port,
            check,
        } => run_gateway(settings, metrics_port, check),
        Args::Entry {
            settings,
            check,
            log_format,
        } => run_entry(&settings, check, log_format),
    }
}

fn run_entry(path: &Path, check: bool, format: Format) -> ExitCode {
    let settings = match Settings::load(path) {
        Ok(settings) => settings,
        Err(report) => return invalid_settings(&report),
    };
    if check {
        println!("{}: settings are valid", path.display());
        return ExitCode::SUCCESS;
    }
    if let Err(report) = log::install(format) {
        eprintln!("copperwelld: {report:?}");
        return ExitCode::from(EXIT_FAILED);
    }
    let mut builder = runtime::Builder::new_multi_thread();
    if let Some(workers) = settings.workers {
        builder.worker_threads(workers);
    }
    run_on(builder, async {
        match Daemon::start(settings).await {
            Ok(daemon) => run_until_stopped(daemon.stop()).await,
            Err(report) => start_failed(&report),
        }
    })
}

fn run_gateway(path: Option<PathBuf>, metrics_port: Option<u16>, check: bool) -> ExitCode {
    let Some(path) = path.or_else(settings::path) else {
        eprintln!("copperwelld: no settings file given; use --settings FILE");
        return ExitCode::from(EXIT_INVALID_SETTINGS);
    };
    let settings = match copperwell_platform::Settings::load(&path) {
        Ok(settings) => settings,
        Err(report) => return invalid_settings(&report),
    };
    if check {
        println!("{}: settings are valid", path.display());
        return ExitCode::SUCCESS;
    }
    let dropped = match log::install_bounded(std::io::stdout()) {
        Ok(dropped) => dropped,
        Err(report) => {
            eprintln!("copperwelld: {report:?}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    // The VMs have one small core, which one thread uses best.
    run_on(runtime::Builder::new_current_thread(), async {
        match gateway::Daemon::start(&settings, metrics_port, dropped).await {
            Ok(daemon) => {
                daemon.watch_settings(path);
                run_until_stopped(daemon.stop()).await
            }
            Err(report) => start_failed(&report),
        }
    })
}

fn invalid_settings(report: &impl std::fmt::Debug) -> ExitCode {
    eprintln!("copperwelld: {report:?}");
    ExitCode::from(EXIT_INVALID_SETTINGS)
}

fn start_failed(report: &impl std::fmt::Debug) -> ExitCode {
    critical!("failed to start", kv: { report:? });
    ExitCode::from(EXIT_FAILED)
}

fn run_on(mut builder: runtime::Builder, run: impl Future<Output = ExitCode>) -> ExitCode {
    let runtime: Runtime = match builder.enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            critical!("failed to start worker threads", kv: { error:? });
            return ExitCode::from(EXIT_FAILED);
        }
    };
    let code = runtime.block_on(run);
    // What came of the last requests is logged right before the exit.
    log::flush();
    runtime.shutdown_background();
    code
}

/// Waits for a signal, then runs `stop` until it ends or another signal arrives.
async fn run_until_stopped(stop: impl Future<Output = ()>) -> ExitCode {
    let signals = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    );
    let (Ok(mut terminate), Ok(mut interrupt)) = signals else {
        critical!("failed to install signal handlers");
        return ExitCode::from(EXIT_FAILED);
    };
    next_signal(&mut terminate, &mut interrupt).await;
    tokio::select! {
        () = stop => {
            info!("stopped");
            ExitCode::SUCCESS
        }
        () = next_signal(&mut terminate, &mut interrupt) => {
            info!("stopped immediately on a second signal");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

async fn next_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
