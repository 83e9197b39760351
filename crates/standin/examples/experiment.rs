//! Runs a router under a scenario and prints its measurements as one line of JSON.

use std::{
    error::Error,
    path::{Path, PathBuf},
    process::ExitCode,
    str::FromStr,
    time::Duration,
};

use bpaf::Bpaf;
use copperwell_rig::{difference, naive, node::Launch, run, scenario::Scenario};

/// The router to run.
#[derive(Debug, Clone, Copy)]
enum Router {
    Copperwell,
    Naive,
    /// Runs both in sequence and compares their answers.
    Both,
}

impl FromStr for Router {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "copperwell" => Ok(Self::Copperwell),
            "naive" => Ok(Self::Naive),
            "both" => Ok(Self::Both),
            _ => Err(format!(
                "router `{text}` is unknown; use `copperwell`, `naive` or `both`"
            )),
        }
    }
}

/// Measures a router under a workload and its faults.
///
/// The last line of standard output is one JSON object. Exit code 1: the run failed.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Args {
    /// A scenario's name or file.
    #[bpaf(long, argument("NAME"))]
    scenario: String,
    /// Seed of the offered load.
    #[bpaf(long, argument("N"), fallback(1))]
    seed: u64,
    /// `copperwell`, `naive`, or `both` to compare their answers request by request.
    #[bpaf(long, argument("ROUTER"), fallback(Router::Copperwell))]
    router: Router,
    /// Seconds of load, instead of the scenario's.
    #[bpaf(long, argument("S"))]
    seconds: Option<u64>,
    /// Program of the daemon, to run daemons as processes of their own.
    #[bpaf(long, argument("FILE"))]
    daemon: Option<PathBuf>,
    /// File for the JSON line as well.
    #[bpaf(long, argument("FILE"))]
    json: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = args().run();
    match measure(&args).await {
        Ok(line) => {
            println!("{line}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("experiment: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn measure(args: &Args) -> Result<String, Box<dyn Error>> {
    copperwelld::log::silence();
    let mut scenario = load_scenario(&args.scenario)?;
    if let Some(seconds) = args.seconds {
        scenario.duration = Duration::from_secs(seconds);
    }
    let launch = args
        .daemon
        .clone()
        .map_or(Launch::InProcess, Launch::Program);
    let line = match args.router {
        Router::Copperwell => {
            let outcome = run::copperwell(&scenario, args.seed, launch).await?;
            serde_json::to_string(&outcome.summary)?
        }
        Router::Naive => {
            let outcome = naive::run(&scenario, args.seed).await?;
            serde_json::to_string(&outcome.summary)?
        }
        Router::Both => {
            let copperwell = run::copperwell(&scenario, args.seed, launch).await?;
            let naive = naive::run(&scenario, args.seed).await?;
            serde_json::to_string(&difference::between(&copperwell.results, &naive.results))?
        }
    };
    if let Some(file) = &args.json {
        std::fs::write(file, format!("{line}\n"))?;
    }
    Ok(line)
}

fn load_scenario(name: &str) -> Result<Scenario, Box<dyn Error>> {
    let file = Path::new(name);
    let bundled = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("scenarios/{name}.yaml"));
    let path = if file.exists() {
        file
    } else {
        bundled.as_path()
    };
    Scenario::load(path).map_err(|report| format!("{report:?}").into())
}
