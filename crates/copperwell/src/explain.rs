//! `explain`.

use crate::{
    args::ExplainArgs,
    exit::{self, Exit, from_platform, print},
    status::ask,
};
use copperwell_operator::{admin::Client, status::Explanation};
use error_stack::{Report, ResultExt};

/// Shows where the requests for a key go.
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

/// Asks a given daemon, and then the leader that it names, which knows the upstream.
async fn explain(args: &ExplainArgs) -> Result<Explanation, Report<Exit>> {
    let mut last = Report::new(Exit::Unreachable);
    for address in &args.daemons {
        let client = Client::new(*address);
        let asked = client.explain(&args.service, &args.key).await;
        match asked.map_err(from_platform) {
            Ok(explanation) if explanation.upstream.is_some() => return Ok(explanation),
            Ok(explanation) => return Ok(ask_leader(args, explanation).await),
            Err(report) => last = report.attach(format!("daemon at {address}")),
        }
    }
    Err(last).change_context(Exit::Unreachable)
}

/// What the leader tells; what is known already if it does not answer.
async fn ask_leader(args: &ExplainArgs, known: Explanation) -> Explanation {
    let Some(leader) = &known.leader else {
        return known;
    };
    let Ok(fleet) = ask(&args.daemons).await else {
        return known;
    };
    let Some(status) = fleet.daemons.get(leader) else {
        return known;
    };
    let client = Client::new(status.daemon.admin);
    let told = client.explain(&args.service, &args.key).await;
    told.unwrap_or(known)
}
