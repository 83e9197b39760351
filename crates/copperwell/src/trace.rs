//! The command `trace`.

use std::{
    fs::File,
    io::{self, BufReader},
    path::Path,
};

use crate::{
    args::TraceArgs,
    exit::{self, Exit, print},
};
use copperwell_operator::trace::{Collector, Trace};
use error_stack::{Report, ResultExt};

/// How many unreadable lines are printed; the others are only counted.
const PRINTED_MAX: usize = 5;

/// Prints the trace of one request from the logs of daemons.
pub(crate) fn run(args: &TraceArgs) -> exit::Result {
    let mut collector = Collector::new(&*args.request);
    if args.logs.is_empty() {
        let read = collector.read("standard input", io::stdin().lock());
        read.change_context(Exit::Unreachable)
            .attach("cannot read standard input")?;
    }
    for path in &args.logs {
        read(&mut collector, path)
            .change_context(Exit::Unreachable)
            .attach_with(|| format!("cannot read {}", path.display()))?;
    }
    let trace = collector.finish();
    report_unreadable(&trace);
    let Some(started_at) = trace.started_at else {
        let remedy = "give the logs of all daemons; only one in 64 successful requests is logged";
        return Err(Report::new(Exit::NotFound)
            .attach(format!("no line about request {}", args.request))
            .attach(remedy));
    };
    for entry in &trace.entries {
        let offset_ms = i128::from(entry.line.timestamp) - i128::from(started_at);
        let marker = if entry.is_own { '*' } else { ' ' };
        let line = &entry.line;
        print(format_args!(
            "{offset_ms:>+7} ms {marker} {}: {} {}",
            entry.source, line.payload, line.kv
        ));
    }
    Ok(Exit::Done)
}

fn read(collector: &mut Collector, path: &Path) -> io::Result<()> {
    let name = path.file_stem().unwrap_or(path.as_os_str());
    let log = BufReader::new(File::open(path)?);
    collector.read(&name.to_string_lossy(), log)
}

/// Reports lines that are not log lines.
fn report_unreadable(trace: &Trace) {
    for line in trace.unreadable.iter().take(PRINTED_MAX) {
        eprintln!("copperwell: {line}");
    }
    let more = trace.unreadable.len().saturating_sub(PRINTED_MAX);
    if more > 0 {
        eprintln!("copperwell: {more} more lines are not log lines");
    }
}
