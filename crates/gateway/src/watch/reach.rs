//! Finds out which upstreams this daemon reaches.

use std::{sync::Arc, time::Duration};

use crate::view::View;
use copperwell_routing::reach::{Group, Update, Verdict};
use spdlog::{info, warn};
use tokio::time::sleep;

/// How often paths are looked at.
const INTERVAL: Duration = Duration::from_millis(100);

/// Probes the paths that are in doubt, forever.
pub async fn paths(view: Arc<View>) {
    loop {
        sleep(INTERVAL).await;
        let registry = view.registry();
        let Update { probes, verdicts } = view.paths.update(registry.all());
        drop(registry);
        for verdict in verdicts {
            log_verdict(&verdict);
        }
        let configuration = view.configuration();
        for probe in probes {
            let known = configuration.as_ref();
            let service = known.and_then(|known| known.service(&probe.upstream.service));
            let health_path = service.and_then(|service| service.health_path.clone());
            let view = view.clone();
            tokio::spawn(async move { view.paths.probe(probe, health_path).await });
        }
    }
}

fn log_verdict(verdict: &Verdict) {
    let (service, zone) = match &verdict.group {
        Group::All => ("", ""),
        Group::Service(service) => (&**service, ""),
        Group::Zone(zone) => ("", &**zone),
    };
    let Verdict { sampled, lost, .. } = *verdict;
    if verdict.is_cut_off {
        warn!("paths to many upstreams are lost together", kv: { event = "cut-off", service, zone, sampled, lost });
    } else {
        info!("paths to many upstreams are back", kv: { event = "cut-off-end", service, zone, sampled, lost });
    }
}
