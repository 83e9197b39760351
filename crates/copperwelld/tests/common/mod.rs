//! A cluster of three data centres with one daemon and one server each.

use std::path::PathBuf;

use copperwell_keyspace::{HashMap, manifest::Manifest};
use copperwell_rig::{cluster::Plan, node::Launch};

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

/// Returns the plan of the cluster, with or without fault proxies between the data centres.
pub(crate) fn plan(is_proxied: bool) -> Plan {
    Plan {
        manifest: Manifest::from_yaml(MANIFEST).unwrap(),
        daemons: 1,
        launch: Launch::Program(PathBuf::from(env!("CARGO_BIN_EXE_copperwelld"))),
        is_proxied,
        proxies_servers: false,
        service_times: HashMap::default(),
    }
}
