//! The commands `check` and `diff`.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    args::{Base, CheckArgs, DiffArgs},
    exit::{self, Exit, from_load, print},
};
use copperwell_keyspace::replay::State;
use copperwell_log::http::Client;
use copperwell_operator::{difference, load};
use error_stack::{Report, ResultExt};
use tokio::time::timeout;

/// Checks a manifest and, if a platform is given, whether it can replace the one in force.
pub(crate) async fn check(args: &CheckArgs) -> exit::Result {
    let manifest = load::manifest(&args.file).await.map_err(from_load)?;
    let name = args.file.display();
    let Some(platform) = args.platform else {
        print(format_args!(
            "{name}: valid, replaces version {}",
            manifest.replaces
        ));
        return Ok(Exit::Done);
    };
    let state = state(platform, args.timeout).await?;
    manifest
        .check_after(&state)
        .change_context(Exit::Invalid)
        .attach_with(|| name.to_string())?;
    if manifest.replaces != state.version() {
        let text = format!(
            "{name} replaces version {}, but version {} is in force",
            manifest.replaces,
            state.version()
        );
        return Err(Report::new(Exit::Conflict).attach(text));
    }
    print(format_args!(
        "{name}: valid, replaces version {}, which is in force",
        manifest.replaces
    ));
    Ok(Exit::Done)
}

/// Shows the differences between two manifests.
pub(crate) async fn diff(args: &DiffArgs) -> exit::Result {
    let new = load::manifest(&args.file).await.map_err(from_load)?;
    let old = match &args.base {
        Base::InForce(platform) => state(*platform, args.timeout).await?.manifest,
        Base::File { against } => Some(Arc::new(load::manifest(against).await.map_err(from_load)?)),
    };
    let changes = difference::between(old.as_deref(), &new);
    if args.json {
        print(serde_json::to_string(&changes).unwrap_or_default());
        return Ok(Exit::Done);
    }
    if changes.is_empty() {
        print("no difference");
    }
    for change in changes {
        print(change);
    }
    Ok(Exit::Done)
}

/// Loads the replicated state from the log.
pub(crate) async fn state(
    platform: SocketAddr,
    time_limit: Duration,
) -> Result<State, Report<Exit>> {
    let log = Client::new(platform);
    let loaded = timeout(time_limit, load::state(&log)).await;
    let reader = loaded
        .change_context(Exit::Unreachable)
        .attach("the log has no state yet; daemons append a snapshot within minutes")?
        .map_err(from_load)?;
    Ok(State::clone(reader.state()))
}
