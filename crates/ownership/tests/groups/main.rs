//! Tests of the ownership driver with fake servers and a paused clock.

mod fake;

use std::{sync::Arc, time::Duration};

use copperwell_dispatch::table::{Route, Table};
use copperwell_keyspace::{
    GroupId, Member,
    record::{Appoint, Body, Id, Record},
    replay::{Outcome, State},
};
use copperwell_ownership::{Event, Evidence, Groups};
use fake::Fake;
use prometheus_client::registry::Registry;
use tokio::{sync::mpsc, time::sleep};

const SHARDS: u32 = 8;

/// The parts of a daemon that the tests use.
struct Daemon {
    groups: Arc<Groups<Fake>>,
    table: Arc<Table>,
    events: mpsc::Receiver<Event>,
}

/// A log, as the state that its records lead to.
#[derive(Default)]
struct Log {
    state: Arc<State>,
    next: u64,
}

impl Log {
    fn append(&mut self, body: Body) {
        let record = Record {
            id: Id {
                writer: "test".into(),
                incarnation: 1,
                sequence: self.next + 1,
            },
            body,
        };
        let outcome = Arc::make_mut(&mut self.state).apply(self.next, &record);
        self.next += 1;
        assert_eq!(outcome, Outcome::Applied);
    }

    fn manifest(&mut self, upstreams: &[&str]) {
        let replaces = self
            .state
            .manifest
            .as_ref()
            .map_or(0, |manifest| manifest.version());
        self.append(Body::Manifest(fake::manifest(replaces, SHARDS, upstreams)));
    }

    fn appoint(&mut self, leader: &str, standby: Option<&str>) {
        let replaces = self
            .state
            .groups
            .get(&group())
            .map_or(0, |appointment| appointment.epoch);
        self.append(Body::Appoint(Appoint {
            group: group(),
            replaces,
            leader: member(leader),
            standby: standby.map(member),
        }));
    }
}

fn group() -> GroupId {
    GroupId {
        service: "calendar".into(),
        data_centre: "cluj".into(),
        part: 0,
    }
}

fn member(name: &str) -> Member {
    Member {
        name: name.into(),
        incarnation: 1,
        data_centre: "cluj".into(),
        control: ([127, 0, 0, 1], 1).into(),
        requests: ([127, 0, 0, 1], 2).into(),
        admin: ([127, 0, 0, 1], 3).into(),
    }
}

fn daemon(name: &str, fake: &Arc<Fake>) -> Daemon {
    let table = Arc::new(Table::new());
    let (sender, events) = mpsc::channel(16);
    let mut registry = Registry::default();
    let groups = Groups::new(
        member(name),
        fake.clone(),
        table.clone(),
        sender,
        &mut registry,
    );
    Daemon {
        groups: Arc::new(groups),
        table,
        events,
    }
}

impl Daemon {
    /// Waits until every shard has an owner, and returns the name of each shard's upstream.
    async fn owners(&self) -> Vec<String> {
        let mut owners = Vec::new();
        for shard in 0..SHARDS {
            let is_unowned = |route: &Route| !matches!(route, Route::Owned(_));
            self.table
                .wait_for_change("calendar", shard, is_unowned)
                .await;
            let Route::Owned(owner) = self.table.route("calendar", shard) else {
                panic!("shard {shard} lost its owner");
            };
            owners.push(owner.upstream.to_string());
        }
        owners
    }

    /// Waits until every shard is routed to another daemon.
    async fn wait_until_elsewhere(&self) {
        for shard in 0..SHARDS {
            let is_routed_here = |route: &Route| !matches!(route, Route::Elsewhere);
            self.table
                .wait_for_change("calendar", shard, is_routed_here)
                .await;
        }
    }
}

fn count(owners: &[String], name: &str) -> usize {
    owners.iter().filter(|owner| *owner == name).count()
}

#[tokio::test(start_paused = true)]
async fn a_new_leader_grants_all_shards_evenly() {
    let fake = Arc::new(Fake::new(2));
    let mut log = Log::default();
    log.manifest(&["cluj", "cluj"]);
    log.appoint("a", None);
    let mut daemon = daemon("a", &fake);
    daemon.groups.apply(&log.state);
    let owners = daemon.owners().await;
    assert_eq!((count(&owners, "u0"), count(&owners, "u1")), (4, 4));
    let event = daemon.events.recv().await;
    assert!(matches!(event, Some(Event::Led { recorded: true, .. })));
    assert_eq!(daemon.groups.status()[0].upstreams.len(), 2);
}

#[tokio::test(start_paused = true)]
async fn shards_of_an_unreachable_upstream_move_within_four_seconds() {
    let fake = Arc::new(Fake::new(2));
    let mut log = Log::default();
    log.manifest(&["cluj", "cluj"]);
    log.appoint("a", None);
    let daemon = daemon("a", &fake);
    daemon.groups.apply(&log.state);
    daemon.owners().await;
    fake.kill(0);
    sleep(Duration::from_secs(4)).await;
    let owners = daemon.owners().await;
    assert_eq!(count(&owners, "u1"), 8);
}

#[tokio::test(start_paused = true)]
async fn a_standby_takes_over_and_moves_no_shard() {
    let fake = Arc::new(Fake::new(3));
    let mut log = Log::default();
    log.manifest(&["cluj", "cluj", "cluj"]);
    log.appoint("a", Some("b"));
    let first = daemon("a", &fake);
    let second = daemon("b", &fake);
    first.groups.apply(&log.state);
    second.groups.apply(&log.state);
    let before = first.owners().await;
    let taken = second.groups.take_over_from(&"a".into());
    assert_eq!(taken, [group()]);
    let after = second.owners().await;
    assert_eq!(before, after);
    first.wait_until_elsewhere().await;
    assert!(first.groups.status().is_empty());
    // Applying the same appointment again does not start it again.
    first.groups.apply(&log.state);
    assert!(first.groups.status().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_hand_over_waits_for_requests_in_flight() {
    let fake = Arc::new(Fake::new(2));
    let mut log = Log::default();
    log.manifest(&["cluj", "cluj"]);
    log.appoint("a", Some("b"));
    let first = daemon("a", &fake);
    let second = daemon("b", &fake);
    first.groups.apply(&log.state);
    second.groups.apply(&log.state);
    let before = first.owners().await;
    let (_, pass) = first.table.begin_request("calendar", 3).unwrap();
    let groups = first.groups.clone();
    let hand_over = tokio::spawn(async move { groups.hand_over(&group()).await });
    sleep(Duration::from_secs(1)).await;
    assert!(!hand_over.is_finished());
    assert!(matches!(first.table.route("calendar", 3), Route::Pending));
    drop(pass);
    assert!(hand_over.await.unwrap().is_some());
    first.wait_until_elsewhere().await;
    second.groups.handle_evidence(Evidence::Stopped {
        daemon: "a".into(),
        incarnation: 1,
    });
    assert!(second.groups.take_over(&group()).is_some());
    assert_eq!(second.owners().await, before);
}

#[tokio::test(start_paused = true)]
async fn a_daemon_that_relinquished_a_group_never_acts_below_that_epoch() {
    let fake = Arc::new(Fake::new(2));
    let mut log = Log::default();
    log.manifest(&["cluj", "cluj"]);
    log.appoint("a", Some("b"));
    let daemon = daemon("a", &fake);
    daemon.groups.apply(&log.state);
    daemon.owners().await;
    let epoch = daemon.groups.status()[0].epoch;
    assert!(!daemon.groups.relinquish(&group(), epoch).await);
    assert!(daemon.groups.relinquish(&group(), epoch + 10).await);
    daemon.wait_until_elsewhere().await;
    daemon.groups.apply(&log.state);
    assert!(daemon.groups.status().is_empty());
    // A repeated request gets the same answer.
    assert!(daemon.groups.relinquish(&group(), epoch + 10).await);
}

#[tokio::test(start_paused = true)]
async fn a_standby_that_took_over_keeps_leading_when_the_log_appoints_it() {
    let fake = Arc::new(Fake::new(3));
    let mut log = Log::default();
    log.manifest(&["cluj", "cluj", "cluj"]);
    log.appoint("a", Some("b"));
    let first = daemon("a", &fake);
    let second = daemon("b", &fake);
    first.groups.apply(&log.state);
    second.groups.apply(&log.state);
    let before = first.owners().await;
    let taken = second.groups.take_over(&group());
    second.owners().await;
    log.appoint("b", None);
    second.groups.apply(&log.state);
    sleep(Duration::from_millis(100)).await;
    assert_eq!(second.owners().await, before);
    let status = second.groups.status();
    assert_eq!(status.len(), 1);
    assert!(Some(status[0].epoch) > taken);
    assert!(status[0].settled);
    // The standby epoch of the replaced appointment cannot be used again.
    assert_eq!(second.groups.take_over(&group()), None);
}

#[tokio::test(start_paused = true)]
async fn moves_to_a_new_group_are_reported_until_the_log_has_them() {
    let fake = Arc::new(Fake::new(2));
    let mut log = Log::default();
    log.manifest(&["cluj"]);
    log.appoint("a", None);
    let mut daemon = daemon("a", &fake);
    daemon.groups.apply(&log.state);
    daemon.owners().await;
    log.manifest(&["cluj", "turda"]);
    daemon.groups.apply(&log.state);
    let moved = loop {
        match daemon.events.recv().await {
            Some(Event::Move(moved)) => break moved,
            Some(_) => {}
            None => panic!("the event channel closed without a move"),
        }
    };
    assert_eq!((moved.shards.len(), &*moved.to.data_centre), (4, "turda"));
    let again = daemon.events.recv().await;
    assert_eq!(again, Some(Event::Move(moved.clone())));
    log.append(Body::Move(moved.clone()));
    daemon.groups.apply(&log.state);
    for shard in &moved.shards {
        let is_routed_here = |route: &Route| !matches!(route, Route::Elsewhere);
        daemon
            .table
            .wait_for_change("calendar", *shard, is_routed_here)
            .await;
    }
    let status = daemon.groups.status();
    assert_eq!(status[0].upstreams[0].shards, 4);
}

#[tokio::test(start_paused = true)]
async fn a_daemon_that_missed_an_appointment_does_not_know_all_rivals() {
    let fake = Arc::new(Fake::new(2));
    let mut log = Log::default();
    log.manifest(&["cluj", "cluj"]);
    log.appoint("a", None);
    let first = daemon("a", &fake);
    first.groups.apply(&log.state);
    assert!(first.groups.knows_rivals(&group()));
    log.appoint("b", None);
    let second = daemon("b", &fake);
    second.groups.apply(&log.state);
    assert!(!second.groups.knows_rivals(&group()));
    assert!(second.groups.rivals(&group()).is_empty());
}
