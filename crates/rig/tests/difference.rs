//! The differential check: on the same load, both routers give the same answers when nothing fails.

use std::time::Duration;

use copperwell_rig::{
    difference::{self, Difference},
    naive,
    node::Launch,
    run,
    scenario::{Load, Scenario, User},
};

fn quiet_day() -> Scenario {
    let load = |service: &str, once| Load {
        service: service.to_owned(),
        rate: 60.0,
        keys: 200,
        skew: 0.5,
        hot_keys_change: None,
        once,
        service_time: Duration::ZERO,
        burst: None,
    };
    Scenario {
        name: "quiet-day".to_owned(),
        user: User::Abraziv,
        duration: Duration::from_secs(2),
        daemons: 1,
        load: vec![load("calendar", 0.0), load("reservations", 0.5)],
        faults: Vec::new(),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn routers_answer_alike_when_nothing_fails() {
    copperwelld::log::silence();
    let ours = run::copperwell(&quiet_day(), 3, Launch::InProcess)
        .await
        .unwrap();
    let naive = naive::run(&quiet_day(), 3).await.unwrap();
    assert!(ours.results.len() > 100);
    let expected = Difference {
        same: ours.results.len() as u64,
        ..Difference::default()
    };
    assert_eq!(difference::between(&ours.results, &naive.results), expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn another_answer_and_another_end_are_told() {
    copperwelld::log::silence();
    let ours = naive::run(&quiet_day(), 4).await.unwrap().results;
    let mut other = ours.clone();
    other[0].content = Some(0);
    other[1].verdicts = vec![copperwell_message::Verdict::NotRun];
    other[1].reason = Some(copperwell_message::Reason::QueueFull);
    let difference = difference::between(&ours, &other);
    assert_eq!(
        (difference.same, difference.other_answer),
        (ours.len() as u64 - 2, 1)
    );
    assert_eq!(difference.named["done / not-run (queue-full)"], 1);
}
