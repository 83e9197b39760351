//! The command-line tool of operators.

use std::process::ExitCode;

use args::Command;
use exit::{Exit, describe};

mod args;
mod exit;
mod explain;
mod gateway;
mod manifest;
mod publish;
mod status;
mod table;
mod trace;
mod watch;

fn main() -> ExitCode {
    let command = args::command().run();
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("copperwell: {error}");
            return Exit::Unreachable.into();
        }
    };
    match runtime.block_on(run(command)) {
        Ok(exit) => exit.into(),
        Err(report) => {
            eprintln!("copperwell: {}", describe(&report));
            (*report.current_context()).into()
        }
    }
}

async fn run(command: Command) -> exit::Result {
    match command {
        Command::Check(args) => manifest::check(&args).await,
        Command::CheckGateway(args) => gateway::check(&args).await,
        Command::Diff(args) => manifest::diff(&args).await,
        Command::Publish(args) => publish::run(&args).await,
        Command::Status(args) => status::run(&args).await,
        Command::Explain(args) => explain::run(&args).await,
        Command::Trace(args) => trace::run(&args),
        Command::Watch(args) => watch::run(&args).await,
    }
}
