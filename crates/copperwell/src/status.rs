//! The command `status`.

use std::sync::Arc;

use crate::{
    args::StatusArgs,
    exit::{self, Exit, print},
    manifest::state,
    table,
};
use copperwell_keyspace::manifest::Manifest;
use copperwell_operator::fleet::{Fleet, GroupReport};
use error_stack::Report;
use serde::Serialize;

/// The JSON output of `status --json`.
#[derive(Debug, Serialize)]
struct Output {
    groups: Vec<GroupReport>,
    fleet: Fleet,
    manifest: Option<Arc<Manifest>>,
}

/// Shows groups, daemons and limits.
pub(crate) async fn run(args: &StatusArgs) -> exit::Result {
    let fleet = discover(&args.daemons).await?;
    let manifest = match args.platform {
        Some(platform) => state(platform, args.timeout).await?.manifest,
        None => None,
    };
    let groups = fleet.groups();
    if args.json {
        let output = Output {
            groups,
            fleet,
            manifest,
        };
        print(serde_json::to_string(&output).unwrap_or_default());
        return Ok(Exit::Done);
    }
    let mut tables = vec![
        table::daemons(&fleet),
        table::groups(&groups),
        table::upstreams(&groups),
    ];
    if groups
        .iter()
        .flat_map(|group| &group.leader_view)
        .any(|group| !group.hot_keys.is_empty())
    {
        tables.push(table::hot_keys(&groups));
    }
    tables.extend(manifest.as_deref().map(table::services));
    let tables: Vec<String> = tables.iter().map(ToString::to_string).collect();
    print(tables.join("\n\n"));
    for address in &fleet.unreachable {
        eprintln!("copperwell: no daemon answers at {address}");
    }
    Ok(Exit::Done)
}

/// Queries the given daemons and all that they know of.
///
/// # Errors
///
/// [`Exit::Unreachable`] if none responds.
pub(crate) async fn discover(daemons: &[std::net::SocketAddr]) -> Result<Fleet, Report<Exit>> {
    let fleet = Fleet::discover(daemons).await;
    if fleet.daemons.is_empty() {
        let text = "no daemon answers at the given admin addresses";
        return Err(Report::new(Exit::Unreachable).attach(text));
    }
    Ok(fleet)
}
