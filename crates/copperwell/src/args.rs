//! The command line.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use bpaf::{Bpaf, Parser, ShellComp, construct, long, positional};

/// The footer of `--help`.
const EXIT_CODES: &str = "Exit codes: 0 done; 1 wrong usage; 2 the file is not valid; 3 \
    another manifest was published first; 4 nothing done, as platform or daemons do not respond; 5 \
    unknown, as a response was lost; 6 accepted, but not in force everywhere in time; \
    7 nothing found.";

/// Check and publish manifests of copperwell, and show the status of its daemons.
///
/// No command changes routing directly: the only way to change it is a new manifest.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version, footer(EXIT_CODES))]
pub(crate) enum Command {
    /// Check a manifest without changing anything.
    ///
    /// With --platform, also check it as the successor of the manifest in force.
    #[bpaf(command)]
    Check(#[bpaf(external(check_args))] CheckArgs),
    /// Show the differences between a manifest and the one in force, or another file.
    #[bpaf(command)]
    Diff(#[bpaf(external(diff_args))] DiffArgs),
    /// Check a configuration of gateway daemons before it is sent to the users' platform.
    ///
    /// Changes nothing. Reports what daemons do not read, entries that no request matches and limits
    /// that contradict each other; with --store or --against also the differences.
    #[bpaf(command)]
    CheckGateway(#[bpaf(external(check_gateway_args))] CheckGatewayArgs),
    /// Publish a manifest and wait until it is in force.
    ///
    /// Waits for every data centre in which a daemon responds and reports those in which none does.
    /// It is safe to run the command again with the same file.
    #[bpaf(command)]
    Publish(#[bpaf(external(publish_args))] PublishArgs),
    /// Show daemons, groups, leaders, epochs, shards and limits.
    #[bpaf(command)]
    Status(#[bpaf(external(status_args))] StatusArgs),
    /// Show where requests for a key are routed, and why.
    #[bpaf(command)]
    Explain(#[bpaf(external(explain_args))] ExplainArgs),
    /// Trace one request through the logs of daemons.
    ///
    /// Lines about the request are marked with a star; the others show decisions about its key, its
    /// servers, its configuration and the leader terms that it refers to.
    #[bpaf(command)]
    Trace(#[bpaf(external(trace_args))] TraceArgs),
    /// Print a line for each change of manifests, groups and daemons.
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

/// The manifest that another one is compared with.
#[derive(Debug, Clone, Bpaf)]
pub(crate) enum Base {
    /// The manifest in force.
    InForce(#[bpaf(external(platform))] SocketAddr),
    /// Another file.
    File {
        /// Compare with the manifest in this file instead of the one in force.
        #[bpaf(long, argument("FILE"), complete_shell(yaml()))]
        against: PathBuf,
    },
}

/// Options of `check-gateway`.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct CheckGatewayArgs {
    #[bpaf(external, optional)]
    pub(crate) gateway_base: Option<GatewayBase>,
    /// Also check against the settings of this daemon, which contain data centres, regions and bounds.
    #[bpaf(long, argument("FILE"))]
    pub(crate) settings: Option<PathBuf>,
    /// Print JSON.
    #[bpaf(long)]
    pub(crate) json: bool,
    #[bpaf(external)]
    pub(crate) timeout: Duration,
    /// A configuration in the platform's format, JSON
    #[bpaf(positional("FILE"), complete_shell(documents()))]
    pub(crate) file: PathBuf,
}

/// The configuration that another one is compared with.
#[derive(Debug, Clone, Bpaf)]
pub(crate) enum GatewayBase {
    /// The active configuration.
    Store {
        /// Compare with the active configuration in the platform's store at this IP address and port.
        #[bpaf(long, argument("ADDR"))]
        store: SocketAddr,
    },
    /// Another file.
    File {
        /// Compare with the configuration in this file instead of the active one.
        #[bpaf(long, argument("FILE"), complete_shell(documents()))]
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
    /// Start a new, empty state in the log before publishing.
    ///
    /// Use it only if all daemons were replaced while the log lost its records, so that no daemon
    /// holds the state. The manifest must then replace version 0.
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
    /// The name of the service.
    #[bpaf(positional("SERVICE"))]
    pub(crate) service: String,
    /// The key.
    #[bpaf(positional("KEY"))]
    pub(crate) key: String,
}

/// Options of `trace`.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct TraceArgs {
    /// The id of the request.
    #[bpaf(positional("REQUEST"))]
    pub(crate) request: String,
    /// Logs in JSON, one for each daemon; the default is standard input.
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
    /// Seconds between two queries of the daemons.
    #[bpaf(long, argument("SECONDS"), fallback(1), display_fallback)]
    pub(crate) every: u64,
    /// Stop after this many queries.
    #[bpaf(long, argument("COUNT"))]
    pub(crate) count: Option<u64>,
}

fn platform() -> impl Parser<SocketAddr> {
    long("platform")
        .help("IP address and port of the platform's log")
        .argument("ADDR")
}

fn daemon() -> impl Parser<SocketAddr> {
    long("daemon")
        .help("IP address and port of a daemon's admin endpoint; may be given several times")
        .argument("ADDR")
}

fn timeout() -> impl Parser<Duration> {
    let seconds = long("timeout")
        .help("Timeout of the command in seconds")
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

fn documents() -> ShellComp {
    ShellComp::File {
        mask: Some("*.json"),
    }
}
