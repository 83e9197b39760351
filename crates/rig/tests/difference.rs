//! Differential tests: both routers give the same answers to the same load without faults.

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
async fn routers_give_the_same_answers_without_faults() {
    copperwelld::log::silence();
    let copperwell = run::copperwell(&quiet_day(), 3, Launch::InProcess)
        .await
        .unwrap();
    let naive = naive::run(&quiet_day(), 3).await.unwrap();
    assert!(copperwell.results.len() > 100);
    let expected = Difference {
        same: copperwell.results.len() as u64,
        ..Difference::default()
    };
    assert_eq!(
        difference::between(&copperwell.results, &naive.results),
        expected
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn different_answer_and_different_outcome_are_reported() {
    copperwelld::log::silence();
    let results = naive::run(&quiet_day(), 4).await.unwrap().results;
    let mut changed = results.clone();
    changed[0].content = Some(0);
    changed[1].verdicts = vec![copperwell_message::Verdict::NotRun];
    changed[1].reason = Some(copperwell_message::Reason::QueueFull);
    let difference = difference::between(&results, &changed);
    assert_eq!(
        (difference.same, difference.other_answer),
        (results.len() as u64 - 2, 1)
    );
    assert_eq!(difference.named["done / not-run (queue-full)"], 1);
}
