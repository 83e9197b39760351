//! The command `publish`.

use crate::{
    args::PublishArgs,
    exit::{self, Exit, from_load, from_publish, print},
};
use copperwell_log::http::Client;
use copperwell_operator::{
    fleet::{Fleet, Reach},
    load,
    publish::{self, Accepted},
};
use tokio::time::Instant;

/// Publishes a manifest and prints its progress in each data centre.
pub(crate) async fn run(args: &PublishArgs) -> exit::Result {
    let manifest = load::manifest(&args.file).await.map_err(from_load)?;
    let deadline = Instant::now() + args.timeout;
    let log = Client::new(args.platform);
    if args.begin_anew {
        publish::begin_anew(&log).await.map_err(from_publish)?;
    }
    let floor = match args.begin_anew {
        false => Fleet::discover(&args.daemons).await.version(),
        true => 0,
    };
    let accepted = publish::publish(&log, &manifest, floor, deadline).await;
    let version = manifest.version();
    match accepted.map_err(from_publish)? {
        Accepted::Now => print(format_args!("version {version} is accepted")),
        Accepted::Before => print(format_args!("version {version} was accepted before")),
    }
    if args.daemons.is_empty() {
        print("give --daemon ADDR to wait until the manifest is in force");
        return Ok(Exit::Done);
    }
    let reaches = publish::wait(&args.daemons, &manifest, deadline).await;
    for reach in &reaches {
        print(format_reach(reach));
    }
    let is_incomplete = |reach: &Reach| !reach.is_whole() && !reach.is_unreachable();
    let is_nowhere = !reaches.iter().any(Reach::is_whole);
    if is_nowhere || reaches.iter().any(is_incomplete) {
        eprintln!("copperwell: version {version} is accepted, but not in force everywhere in time");
        return Ok(Exit::Late);
    }
    Ok(Exit::Done)
}

fn format_reach(reach: &Reach) -> String {
    let Reach {
        data_centre,
        in_force,
        answering,
        silent,
    } = reach;
    if reach.is_unreachable() {
        return format!("{data_centre}: cut off, no daemon answers ({silent} known)");
    }
    let silent = match silent {
        0 => String::new(),
        count => format!(", {count} silent"),
    };
    format!("{data_centre}: in force at {in_force} of {answering} daemons{silent}")
}
