//! The whole path with real processes: caller, ingress, leader, owner, and back.

use std::{path::PathBuf, time::Duration};

use copperwell_keyspace::{HashMap, manifest::Manifest};
use copperwell_message::Verdict;
use copperwell_rig::{
    cluster::{Cluster, Plan},
    load::{self, Caller},
    node::Launch,
    scenario::{Load, Scenario, User},
    schedule,
};

const MANIFEST: &str = "
replaces: 0
data_centres:
  - { name: ro-nord-a, region: ro-nord }
  - { name: ro-nord-b, region: ro-nord }
  - { name: ro-nord-c, region: ro-nord }
services:
  - name: calendar
    class: interactive
    shards: 16
    upstreams:
      - { name: cal-a1, data_centre: ro-nord-a, address: '127.0.0.1:1', slots: 2, connections: 130 }
      - { name: cal-b1, data_centre: ro-nord-b, address: '127.0.0.1:2', slots: 2, connections: 130 }
      - { name: cal-c1, data_centre: ro-nord-c, address: '127.0.0.1:3', slots: 2, connections: 130 }
";

fn plan() -> Plan {
    let manifest: Manifest = serde_norway::from_str(MANIFEST).unwrap();
    Plan {
        manifest,
        daemons: 1,
        launch: Launch::Program(PathBuf::from(env!("CARGO_BIN_EXE_copperwelld"))),
        is_proxied: false,
        proxies_servers: false,
        service_times: HashMap::default(),
    }
}

fn scenario() -> Scenario {
    Scenario {
        name: "path".to_owned(),
        user: User::Abraziv,
        duration: Duration::from_secs(1),
        daemons: 1,
        load: vec![Load {
            service: "calendar".to_owned(),
            rate: 100.0,
            keys: 100,
            skew: 0.0,
            hot_keys_change: None,
            once: 0.3,
            service_time: Duration::ZERO,
            burst: None,
        }],
        faults: Vec::new(),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn three_daemons_in_three_data_centres_serve_each_others_keys() {
    let cluster = Cluster::start(plan()).await.unwrap();
    cluster.wait_ready().await.unwrap();
    let caller = Caller {
        deadline: Duration::from_secs(5),
        resends: 0,
    };
    let offers = schedule::offers(&scenario(), 1);
    let results = load::run(offers, cluster.entries.clone(), caller).await;
    assert!(!results.is_empty());
    for result in &results {
        assert_eq!(result.verdicts, [Verdict::Done], "{result:?}");
        assert!(!result.wrong, "{result:?}");
    }
    assert_eq!(cluster.record.overlaps(), []);
    assert_eq!(cluster.record.twice_run(), Vec::<String>::new());
}
