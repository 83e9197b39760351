//! The command line.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use bpaf::{Bpaf, Parser, ShellComp, construct, long, positional};

/// What `--help` tells of exit codes.
const EXIT_CODES: &str = "Exit codes: 0 done; 1 wrong usage; 2 the manifest is not valid; 3 \
    another manifest was published first; 4 nothing done, as platform or daemons do not answer; 5 \
    unknown, as an answer was lost; 6 accepted, but not in force everywhere in time; \
    7 nothing found.";

/// Checks, publishes and follows the manifest of copperwell, and shows what the daemons do.
///
/// Nothing here edits live routing: a new manifest is the only way to change it.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version, footer(EXIT_CODES))]
pub(crate) enum Command {
    /// Check a manifest, without changing anything.
    ///
    /// With --platform also as the successor of the manifest in force.
    #[bpaf(command)]
    Check(#[bpaf(external(check_args))] CheckArgs),
    /// Show what a manifest changes of the one in force, or of another file.
    #[bpaf(command)]
    Diff(#[bpaf(external(diff_args))] DiffArgs),
    /// Publish a manifest and wait until it is in force.
    ///
    /// Waits for every data centre that a daemon reaches and names those that are cut off.
    /// Safe to run again with the same file.
    #[bpaf(command)]
    Publish(#[bpaf(external(publish_args))] PublishArgs),
    /// Show groups, leaders, epochs, shards and limits.
    #[bpaf(command)]
    Status(#[bpaf(external(status_args))] StatusArgs),
    /// Show where the requests for a key go, and why.
    #[bpaf(command)]
    Explain(#[bpaf(external(explain_args))] ExplainArgs),
    /// Tell the story of one request from daemons' logs.
    ///
    /// Lines about the request have a star; the others tell what was decided about its key, its
    /// servers, its configuration and the leadership that it went by.
    #[bpaf(command)]
    Trace(#[bpaf(external(trace_args))] TraceArgs),
    /// Print a line for each change of manifest, leaders and daemons.
    #[bpaf(command)]
    Watch(#[bpaf(external(watch_args))] WatchArgs),
}

/// Options of `check`.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct CheckArgs {
    #[bpaf(external(platform), optional)]
    pub(crate) platform: Option<SocketAddr>,
    #[bpaf(external)]
    pub(crate) timeout: Duration,
    #[bpaf(external)]
    pub(crate) file: PathBuf,
}

/// Options of `diff`.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct DiffArgs {
    #[bpaf(external)]
    pub(crate) base: Base,
    /// Print JSON.
    #[bpaf(long)]
    pub(crate) json: bool,
    #[bpaf(external)]
    pub(crate) timeout: Duration,
    #[bpaf(external)]
    pub(crate) file: PathBuf,
}

/// What a manifest is compared with.
#[derive(Debug, Clone, Bpaf)]
pub(crate) enum Base {
    /// The manifest in force.
    InForce(#[bpaf(external(platform))] SocketAddr),
    /// Another file.
    File {
        /// Compare with this manifest in place of the one in force.
        #[bpaf(long, argument("FILE"), complete_shell(yaml()))]
        against: PathBuf,
    },
}

/// Options of `publish`.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct PublishArgs {
    #[bpaf(external)]
    pub(crate) platform: SocketAddr,
    #[bpaf(external(daemon), many)]
    pub(crate) daemons: Vec<SocketAddr>,
    #[bpaf(external)]
    pub(crate) timeout: Duration,
    /// Start a log anew whose state no daemon holds any more, before publishing.
    ///
    /// Only when all daemons were replaced while the log lost its records. The manifest then
    /// replaces version 0.
    #[bpaf(long)]
    pub(crate) begin_anew: bool,
    #[bpaf(external)]
    pub(crate) file: PathBuf,
}

/// Options of `status`.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct StatusArgs {
    #[bpaf(
        external(daemon),
        some("give the admin address of a daemon with --daemon ADDR")
    )]
    pub(crate) daemons: Vec<SocketAddr>,
    #[bpaf(external(platform), optional)]
    pub(crate) platform: Option<SocketAddr>,
    #[bpaf(external)]
    pub(crate) timeout: Duration,
    /// Print JSON.
    #[bpaf(long)]
    pub(crate) json: bool,
}

/// Options of `explain`.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct ExplainArgs {
    #[bpaf(
        external(daemon),
        some("give the admin address of a daemon with --daemon ADDR")
    )]
    pub(crate) daemons: Vec<SocketAddr>,
    /// Print JSON.
    #[bpaf(long)]
    pub(crate) json: bool,
    /// The service.
    #[bpaf(positional("SERVICE"))]
    pub(crate) service: String,
    /// The key.
    #[bpaf(positional("KEY"))]
    pub(crate) key: String,
}

/// Options of `trace`.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct TraceArgs {
    /// The request's id.
    #[bpaf(positional("REQUEST"))]
    pub(crate) request: String,
    /// Logs in JSON, one of each daemon; without any, standard input is read.
    #[bpaf(positional("LOG"), many)]
    pub(crate) logs: Vec<PathBuf>,
}

/// Options of `watch`.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct WatchArgs {
    #[bpaf(
        external(daemon),
        some("give the admin address of a daemon with --daemon ADDR")
    )]
    pub(crate) daemons: Vec<SocketAddr>,
    /// Seconds between two looks.
    #[bpaf(long, argument("SECONDS"), fallback(1), display_fallback)]
    pub(crate) every: u64,
    /// Stop after this many looks.
    #[bpaf(long, argument("COUNT"))]
    pub(crate) count: Option<u64>,
}

fn platform() -> impl Parser<SocketAddr> {
    long("platform")
        .help("IP number and port of the platform's log")
        .argument("ADDR")
}

fn daemon() -> impl Parser<SocketAddr> {
    long("daemon")
        .help("IP number and port of a daemon's admin endpoint; may be given several times")
        .argument("ADDR")
}

fn timeout() -> impl Parser<Duration> {
    let seconds = long("timeout")
        .help("Seconds until the command gives up")
        .argument("SECONDS")
        .guard(
            |seconds: &u64| (1..=3600).contains(seconds),
            "give 1 to 3600 seconds",
        )
        .fallback(15)
        .display_fallback()
        .map(Duration::from_secs);
    construct!(seconds)
}

fn file() -> impl Parser<PathBuf> {
    positional("FILE")
        .help("A manifest in YAML")
        .complete_shell(yaml())
}

fn yaml() -> ShellComp {
    ShellComp::File {
        mask: Some("*.yaml"),
    }
}
