//! The command `check-gateway`.

use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

use crate::{
    args::{CheckGatewayArgs, GatewayBase},
    exit::{self, Exit, from_load, print},
};
use copperwell_operator::load;
use copperwell_platform::{
    Published, Settings, Store,
    check::{Candidate, Difference, Finding, Severity},
};
use error_stack::{Report, ResultExt};
use serde::Serialize;
use tokio::time::{sleep, timeout};

/// The largest file that is read, in bytes: daemons read no larger response of the store.
const SIZE_MAX: u64 = 8 << 20;

/// The delay after a failed read of the store, as for daemons.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// What was found.
#[derive(Debug, Serialize)]
struct Output {
    findings: Vec<Finding>,
    /// The differences from the base; `None` if the two cannot be compared.
    differences: Option<Vec<Difference>>,
    /// What is compared with, if it was asked for.
    base: Option<Base>,
}

/// The configuration that another one is compared with.
#[derive(Debug, Serialize)]
#[serde(tag = "state", rename_all = "kebab-case")]
enum Base {
    /// It was read.
    Readable { version: u64 },
    /// It is not readable.
    Unreadable { reason: String },
    /// The store has none.
    Missing,
    /// The store does not answer.
    Unanswered { reason: String },
}

/// Checks a configuration, and compares it with another one.
pub(crate) async fn check(args: &CheckGatewayArgs) -> exit::Result {
    let text = load::text(&args.file, SIZE_MAX).await.map_err(from_load)?;
    let settings = args.settings.as_deref().map(load_settings).transpose()?;
    let (candidate, mut findings) = match Candidate::new(text.as_bytes()) {
        Ok(candidate) => {
            let findings = candidate.check(settings.as_ref());
            (Some(candidate), findings)
        }
        Err(error) => (None, vec![error.into()]),
    };
    let (base, state) = match &args.gateway_base {
        Some(base) => read_base(base, args.timeout).await?,
        None => (None, None),
    };
    let both = candidate.zip(base);
    if let Some((candidate, base)) = &both {
        findings.extend(candidate.check_version(base));
        findings.sort_by(|one, other| one.location.cmp(&other.location));
    }
    let output = Output {
        findings,
        differences: both.map(|(candidate, base)| candidate.differences_from(&base)),
        base: state,
    };
    match args.json {
        true => print(serde_json::to_string(&output).unwrap_or_default()),
        false => output.print(&args.file),
    }
    Ok(output.exit())
}

fn load_settings(path: &Path) -> Result<Settings, Report<Exit>> {
    let loaded = Settings::load(path).change_context(Exit::Invalid);
    loaded.attach_with(|| path.display().to_string())
}

/// Reads the configuration to compare with.
async fn read_base(
    base: &GatewayBase,
    time_limit: Duration,
) -> Result<(Option<Candidate>, Option<Base>), Report<Exit>> {
    let document = match base {
        GatewayBase::File { against } => {
            let text = load::text(against, SIZE_MAX).await.map_err(from_load)?;
            text.into_bytes()
        }
        GatewayBase::Store { store } => match read_store(*store, time_limit).await {
            Ok(Some(document)) => document,
            Ok(None) => return Ok((None, Some(Base::Missing))),
            Err(reason) => return Ok((None, Some(Base::Unanswered { reason }))),
        },
    };
    Ok(match Candidate::new(&document) {
        Ok(base) => {
            let version = base.version();
            (Some(base), Some(Base::Readable { version }))
        }
        Err(error) => {
            let reason = error.to_string();
            (None, Some(Base::Unreadable { reason }))
        }
    })
}

/// Reads the active configuration; tries again until it has an answer, or returns why it has none.
async fn read_store(address: SocketAddr, time_limit: Duration) -> Result<Option<Vec<u8>>, String> {
    let published = Published::new(Arc::new(Store::new(address)));
    let mut failure = "it gave no answer in time".to_owned();
    let read = async {
        loop {
            match published.document().await {
                Ok(document) => return document,
                Err(error) => failure = error.message,
            }
            sleep(RETRY_DELAY).await;
        }
    };
    timeout(time_limit, read).await.map_err(|_| failure)
}

impl Output {
    /// Prints the findings and differences as text.
    fn print(&self, path: &Path) {
        let name = path.display();
        for finding in &self.findings {
            print(format_args!("{name}:{finding}"));
        }
        let (errors, warnings) = (self.count(Severity::Error), self.count(Severity::Warning));
        print(format_args!(
            "{name}: errors: {errors}, warnings: {warnings}"
        ));
        match &self.base {
            None => {}
            Some(Base::Readable { version }) => print(format_args!("compared with r{version}:")),
            Some(Base::Unreadable { reason }) => print(format_args!(
                "not compared: the version to compare with is not readable: {reason}"
            )),
            Some(Base::Missing) => print("not compared: the store has no configuration"),
            Some(Base::Unanswered { reason }) => {
                print(format_args!(
                    "not compared: cannot read the store: {reason}"
                ));
            }
        }
        for difference in self.differences.iter().flatten() {
            print(difference);
        }
        if self.differences.as_ref().is_some_and(Vec::is_empty) {
            print("no difference");
        }
    }

    fn count(&self, severity: Severity) -> usize {
        let findings = self.findings.iter();
        findings.filter(|one| one.severity == severity).count()
    }

    fn exit(&self) -> Exit {
        if let Some(Base::Unanswered { .. }) = self.base {
            return Exit::Unreachable;
        }
        match self.count(Severity::Error) {
            0 => Exit::Done,
            _ => Exit::Invalid,
        }
    }
}
