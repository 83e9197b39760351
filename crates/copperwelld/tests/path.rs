//! Requests between processes along the whole path: caller, ingress, leader, owner, and back.

use std::time::Duration;

use copperwell_message::Verdict;
use copperwell_rig::{
    cluster::Cluster,
    load::{self, Caller},
    scenario::{Load, Scenario, User},
    schedule,
};

mod common;

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
async fn daemons_of_three_data_centres_serve_each_others_keys() {
    let cluster = Cluster::start(common::plan(false)).await.unwrap();
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
