//! Tests fleets and publications with daemons that respond, do not respond or lag behind.

use std::{
    convert::Infallible,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
};

use copperwell_keyspace::{
    Member,
    id::{DaemonName, GroupId},
    manifest::Manifest,
    record::STREAM,
};
use copperwell_log::{Log as _, http};
use copperwell_operator::{
    admin::Client,
    fleet::Fleet,
    publish::{Accepted, Error, publish, wait},
    query,
    status::{Explanation, Group, Log, LogState, MemberStatus, Role, Status, Upstream},
};
use copperwell_standin::platform::Platform;
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use test_case::test_case;
use tokio::{
    net::TcpListener,
    time::{Duration, Instant},
};

const MANIFEST: &str = "
replaces: 0
data_centres:
  - { name: north, region: ro }
  - { name: south, region: ro }
services:
  - name: calendar
    class: interactive
    shards: 8
    upstreams:
      - { name: one, data_centre: north, address: 127.0.0.1:80, slots: 2, connections: 130 }
";

fn manifest() -> Manifest {
    Manifest::from_yaml(MANIFEST).expect("a manifest")
}

/// A daemon's admin endpoint with a status that the test sets.
struct Daemon {
    status: Arc<Mutex<Status>>,
}

impl Daemon {
    async fn start(name: &str, data_centre: &str) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let status = Arc::new(Mutex::new(Status {
            daemon: member(name, data_centre, address),
            manifest: 0,
            digest: 0,
            log: Log {
                next: 0,
                state: LogState::Current,
            },
            groups: Vec::new(),
            members: Vec::new(),
        }));
        tokio::spawn(serve(listener, status.clone()));
        Self { status }
    }

    fn change(&self, change: impl FnOnce(&mut Status)) {
        change(&mut self.status.lock().expect("no panic"));
    }

    fn member(&self) -> Member {
        self.status.lock().expect("no panic").daemon.clone()
    }

    fn add_member(&self, member: Member) {
        let known = MemberStatus {
            member,
            reachable: true,
        };
        self.change(|status| status.members.push(known));
    }

    fn set_manifest(&self, manifest: &Manifest) {
        self.change(|status| {
            status.manifest = manifest.version();
            status.digest = manifest.digest();
        });
    }
}

async fn serve(listener: TcpListener, status: Arc<Mutex<Status>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let status = status.clone();
        let response = move |request: Request<Incoming>| {
            let status = status.lock().expect("no panic").clone();
            async move { Ok::<_, Infallible>(Response::new(body(&request, &status))) }
        };
        tokio::spawn(
            http1::Builder::new().serve_connection(TokioIo::new(stream), service_fn(response)),
        );
    }
}

fn body(request: &Request<Incoming>, status: &Status) -> String {
    let query = request.uri().query().unwrap_or_default();
    let json = match query::field(query, "key") {
        None => serde_json::to_string(status),
        Some(key) => serde_json::to_string(&Explanation {
            service: "calendar".into(),
            key,
            shard: 1,
            group: None,
            leader: None,
            data_centre: None,
            epoch: 0,
            upstream: None,
            because: Vec::new(),
        }),
    };
    json.expect("JSON")
}

fn member(name: &str, data_centre: &str, admin: SocketAddr) -> Member {
    Member {
        name: name.into(),
        incarnation: 1,
        data_centre: data_centre.into(),
        control: admin,
        requests: admin,
        admin,
    }
}

/// Returns an address on which no process listens.
async fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    listener
        .expect("a free port")
        .local_addr()
        .expect("an address")
}

fn deadline_soon() -> Instant {
    Instant::now() + Duration::from_secs(5)
}

#[tokio::test]
async fn all_members_of_a_daemon_are_discovered() {
    let one = Daemon::start("one", "north").await;
    let two = Daemon::start("two", "south").await;
    one.add_member(two.member());
    one.add_member(member("lost", "south", unused_address().await));
    let fleet = Fleet::discover(&[one.member().admin]).await;
    let names: Vec<&DaemonName> = fleet.daemons.keys().collect();
    assert_eq!(names, [&DaemonName::from("one"), &DaemonName::from("two")]);
    assert_eq!(fleet.silent.len(), 1);
    assert_eq!(&*fleet.silent[0].name, "lost");
}

#[tokio::test]
async fn the_leader_with_the_highest_epoch_is_shown() {
    let one = Daemon::start("one", "north").await;
    let two = Daemon::start("two", "north").await;
    one.add_member(two.member());
    let group = |epoch, role| Group {
        group: GroupId {
            service: "calendar".into(),
            data_centre: "north".into(),
            part: 0,
        },
        epoch,
        role,
        phase: "steady".into(),
        upstreams: vec![Upstream {
            name: "one".into(),
            state: "up".into(),
            shards: 8,
            in_flight: 0,
            queue: 0,
        }],
        unassigned: 0,
        hot_keys: Vec::new(),
    };
    one.change(|status| status.groups.push(group(2, Role::Leader)));
    two.change(|status| status.groups.push(group(4, Role::Leader)));
    let groups = Fleet::discover(&[one.member().admin]).await.groups();
    assert_eq!(groups.len(), 1);
    assert_eq!(groups[0].leader, Some("two".into()));
}

#[tokio::test]
async fn publication_waits_only_for_daemons_that_respond() {
    let one = Daemon::start("one", "north").await;
    one.add_member(member("lost", "south", unused_address().await));
    let seeds = [one.member().admin];
    let manifest = manifest();
    let waiting = wait(&seeds, &manifest, deadline_soon());
    let changing = async {
        one.set_manifest(&manifest);
    };
    let (reaches, ()) = tokio::join!(waiting, changing);
    assert_eq!(reaches.len(), 2);
    assert!(reaches[0].is_whole(), "{reaches:?}");
    assert!(reaches[1].is_unreachable(), "{reaches:?}");
    assert_eq!(reaches[1].silent, 1);
}

#[tokio::test]
async fn another_manifest_of_the_same_version_does_not_count_as_in_force() {
    let one = Daemon::start("one", "north").await;
    let mut other = manifest();
    other.services[0].limits.queue = 9;
    one.set_manifest(&other);
    let deadline = Instant::now() + Duration::from_millis(300);
    let reaches = wait(&[one.member().admin], &manifest(), deadline).await;
    assert!(!reaches[0].is_whole(), "{reaches:?}");
}

#[tokio::test]
async fn a_manifest_that_is_no_valid_successor_is_not_published() {
    let platform = Platform::start().await;
    let log = http::Client::new(platform.address());
    let first = publish(&log, &manifest(), 0, deadline_soon()).await;
    assert_eq!(first.expect("accepted"), Accepted::Now);
    let mut next = manifest();
    next.replaces = 1;
    next.services[0].shards = 16;
    let report = publish(&log, &next, 0, deadline_soon())
        .await
        .expect_err("invalid");
    assert!(matches!(report.current_context(), Error::Invalid(_)));
    assert_eq!(platform.appends(), 1);
    let mut stale = manifest();
    stale.services[0].limits.queue = 9;
    let report = publish(&log, &stale, 0, deadline_soon())
        .await
        .expect_err("stale");
    let conflict = Error::Conflict {
        replaces: 0,
        in_force: 1,
    };
    assert_eq!(*report.current_context(), conflict);
}

#[tokio::test]
async fn an_outage_after_the_append_leaves_the_outcome_unknown() {
    let platform = Platform::start().await;
    let log = http::Client::new(platform.address()).with_timeout(Duration::from_millis(100));
    let manifest = manifest();
    platform.lose_answers(u64::MAX);
    let deadline = Instant::now() + Duration::from_millis(600);
    let publishing = publish(&log, &manifest, 0, deadline);
    let cutting = async {
        while platform.appends() == 0 {
            tokio::task::yield_now().await;
        }
        platform.set_down(true);
    };
    let (outcome, ()) = tokio::join!(publishing, cutting);
    let report = outcome.expect_err("the outcome is unknown");
    assert_eq!(*report.current_context(), Error::Unknown);
    assert_eq!(platform.records(STREAM).len(), 1);
}

#[tokio::test]
async fn nothing_is_published_to_a_log_that_is_behind_the_daemons() {
    let platform = Platform::start().await;
    let log = http::Client::new(platform.address());
    let deadline = Instant::now() + Duration::from_millis(500);
    let report = publish(&log, &manifest(), 3, deadline).await;
    let report = report.expect_err("the log is behind");
    let behind = Error::Behind {
        log: 0,
        in_force: 3,
    };
    assert_eq!(*report.current_context(), behind);
    assert_eq!(platform.appends(), 0);
}

#[tokio::test]
async fn a_slow_log_does_not_fail_a_publication() {
    let platform = Platform::start().await;
    let log = http::Client::new(platform.address());
    log.append(STREAM, vec![9])
        .await
        .expect("the platform is up");
    platform.set_delay(Duration::from_millis(300));
    let accepted = publish(&log, &manifest(), 0, deadline_soon()).await;
    assert_eq!(accepted.expect("accepted"), Accepted::Now);
}

#[test_case("cabin-17"; "plain")]
#[test_case("a b&key=c%2F/ü?"; "reserved characters")]
#[tokio::test]
async fn a_key_in_a_query_arrives_unchanged(key: &str) {
    let one = Daemon::start("one", "north").await;
    let client = Client::new(one.member().admin);
    let explanation = client
        .explain("calendar", key)
        .await
        .expect("the daemon responds");
    assert_eq!(explanation.key, key);
}

#[test_case("a=1&b=2", "b" => Some("2".to_owned()); "second")]
#[test_case("a=1", "b" => None; "missing")]
#[test_case("a=%", "a" => None; "truncated escape")]
#[test_case("a=%zz", "a" => None; "escape without digits")]
#[test_case("a=%FF", "a" => None; "not UTF-8")]
fn a_field_of_a_query_is_decoded(query: &str, name: &str) -> Option<String> {
    query::field(query, name)
}
