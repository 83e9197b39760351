//! The entry daemon's command line.

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use copperwelld::{
    daemon::Daemon,
    log::{self, Format},
    settings::Settings,
};
use spdlog::{critical, info};
use tokio::{
    runtime,
    signal::unix::{Signal, SignalKind, signal},
};

/// Exit code for settings that cannot be used.
const EXIT_SETTINGS: u8 = 2;
/// Exit code for a daemon that could not start or run.
const EXIT_FAILED: u8 = 1;

/// Routes requests to servers that own keys exclusively.
///
/// SIGTERM hands groups over and finishes requests in flight; a second one stops at once.
/// Exit codes: 0 stopped, 1 failed to start or stopped at once, 2 unusable settings.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Args {
    /// Settings file in YAML.
    #[bpaf(long, argument("FILE"))]
    settings: PathBuf,
    /// Check the settings and exit.
    #[bpaf(long)]
    check: bool,
    /// Shape of log lines on standard error: `text` or `json`.
    #[bpaf(long, argument("FORMAT"), fallback(Format::Text))]
    log_format: Format,
}

fn main() -> ExitCode {
    let args = args().run();
    let settings = match Settings::load(&args.settings) {
        Ok(settings) => settings,
        Err(report) => {
            eprintln!("copperwelld: {report:?}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if args.check {
        println!("{}: fine", args.settings.display());
        return ExitCode::SUCCESS;
    }
    if let Err(report) = log::install(args.log_format) {
        eprintln!("copperwelld: {report:?}");
        return ExitCode::from(EXIT_FAILED);
    }
    let mut builder = runtime::Builder::new_multi_thread();
    if let Some(workers) = settings.workers {
        builder.worker_threads(workers);
    }
    let runtime = match builder.enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            critical!("cannot start worker threads", kv: { error:? });
            return ExitCode::from(EXIT_FAILED);
        }
    };
    let code = runtime.block_on(run(settings));
    runtime.shutdown_background();
    code
}

async fn run(settings: Settings) -> ExitCode {
    let signals = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    );
    let (Ok(mut terminate), Ok(mut interrupt)) = signals else {
        critical!("cannot listen for signals");
        return ExitCode::from(EXIT_FAILED);
    };
    let daemon = match Daemon::start(settings).await {
        Ok(daemon) => daemon,
        Err(report) => {
            critical!("cannot start", kv: { report:? });
            return ExitCode::from(EXIT_FAILED);
        }
    };
    next_signal(&mut terminate, &mut interrupt).await;
    tokio::select! {
        () = daemon.stop() => {
            info!("stopped");
            ExitCode::SUCCESS
        }
        () = next_signal(&mut terminate, &mut interrupt) => {
            info!("stopped at once by a second signal");
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
