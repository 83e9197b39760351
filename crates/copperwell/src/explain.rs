//! The command `explain`.

use crate::{
    args::ExplainArgs,
    exit::{self, Exit, from_platform, print},
    status::discover,
};
use copperwell_operator::{admin::Client, status::Explanation};
use error_stack::{Report, ResultExt};

/// Shows where requests for a key are routed.
pub(crate) async fn run(args: &ExplainArgs) -> exit::Result {
    let explanation = explain(args).await?;
    if args.json {
        let json = serde_json::to_string(&explanation).unwrap_or_default();
        print(json);
        return Ok(Exit::Done);
    }
    let dash = || "-".to_owned();
    let group = explanation.group.as_ref();
    print(format_args!("service   {}", explanation.service));
    print(format_args!("key       {}", explanation.key));
    print(format_args!("shard     {}", explanation.shard));
    print(format_args!(
        "group     {}",
        group.map_or_else(dash, ToString::to_string)
    ));
    print(format_args!(
        "leader    {}",
        explanation.leader.as_deref().unwrap_or("-")
    ));
    print(format_args!("epoch     {}", explanation.epoch));
    print(format_args!(
        "upstream  {}",
        explanation.upstream.as_deref().unwrap_or("-")
    ));
    for reason in &explanation.because {
        print(format_args!("  {reason}"));
    }
    Ok(Exit::Done)
}

/// Queries the given daemons until one responds and, if that one does not know the upstream, the
/// leader that it names.
async fn explain(args: &ExplainArgs) -> Result<Explanation, Report<Exit>> {
    let mut last = Report::new(Exit::Unreachable);
    for address in &args.daemons {
        let client = Client::new(*address);
        let response = client.explain(&args.service, &args.key).await;
        match response.map_err(from_platform) {
            Ok(explanation) if explanation.upstream.is_some() => return Ok(explanation),
            Ok(explanation) => return Ok(explain_at_leader(args, explanation).await),
            Err(report) => last = report.attach(format!("daemon at {address}")),
        }
    }
    Err(last).change_context(Exit::Unreachable)
}

/// Returns the leader's explanation, or the known one if the leader does not respond.
async fn explain_at_leader(args: &ExplainArgs, known: Explanation) -> Explanation {
    let Some(leader) = &known.leader else {
        return known;
    };
    let Ok(fleet) = discover(&args.daemons).await else {
        return known;
    };
    let Some(status) = fleet.daemons.get(leader) else {
        return known;
    };
    let client = Client::new(status.daemon.admin);
    let response = client.explain(&args.service, &args.key).await;
    response.unwrap_or(known)
}
