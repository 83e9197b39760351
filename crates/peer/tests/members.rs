//! Membership over real sockets.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use copperwell_keyspace::{Incarnation, LogOffset, Member, batch::Batch};
use copperwell_message::{Body, Class, Head, Reason, Repeat, Request, Verdict};
use copperwell_peer::{
    control::{
        Client, HandOver, Handler, Liveness, Pong, Position, Probe, Refusals, Relinquish, Snapshot,
        serve,
    },
    link::{Links, Relay},
    members::{Event, MemberRelay, Members, ROUND, Roster},
};
use copperwell_policy::quarantine::Conviction;
use tokio::{
    net::TcpListener,
    sync::broadcast,
    time::{sleep, timeout},
};
use tokio_util::sync::{CancellationToken, DropGuard};

/// A timeout that no wait of these tests reaches, even on a slow machine.
const LONG: Duration = Duration::from_secs(20);

/// A daemon that only takes part in membership; it stops when it is dropped.
struct Daemon {
    me: Member,
    members: Arc<Members>,
    _running: DropGuard,
}

struct Responder {
    members: Arc<Members>,
}

impl Handler for Responder {
    async fn probe(&self, probe: Probe) -> Pong {
        self.members.handle_probe(probe)
    }

    async fn probe_through(&self, target: SocketAddr) -> Option<Pong> {
        self.members.probe_through(target).await
    }

    async fn records(&self, _: LogOffset, _: Duration) -> Option<Batch> {
        None
    }

    async fn snapshot(&self) -> Option<Snapshot> {
        None
    }

    async fn hand_over(&self, _: HandOver) -> bool {
        false
    }

    async fn relinquish(&self, _: Relinquish) -> bool {
        false
    }

    async fn quarantine(&self, _: Vec<Conviction>) {}
}

impl Daemon {
    async fn start(name: &str, incarnation: Incarnation, seeds: &[SocketAddr]) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let control = listener.local_addr().unwrap();
        let me = Member {
            name: name.into(),
            incarnation,
            data_centre: "dc".into(),
            control,
            requests: control,
            admin: control,
        };
        let members = Members::new(me.clone(), seeds.to_vec(), Client::new());
        let shutdown = CancellationToken::new();
        let responder = Responder {
            members: members.clone(),
        };
        tokio::spawn(serve(
            listener,
            responder,
            Refusals::new(),
            shutdown.clone(),
        ));
        let probing = members.clone();
        let token = shutdown.clone();
        tokio::spawn(async move { probing.run(token).await });
        Self {
            me,
            members,
            _running: shutdown.drop_guard(),
        }
    }

    async fn wait_until(&self, matches: impl Fn(&Roster) -> bool) {
        let mut roster = self.members.roster();
        let found = roster.wait_for(|roster| matches(roster));
        timeout(LONG, found).await.unwrap().unwrap();
    }
}

async fn wait_for_event(events: &mut broadcast::Receiver<Event>, expected: Event) {
    let found = async { while events.recv().await.unwrap() != expected {} };
    timeout(LONG, found).await.unwrap();
}

#[tokio::test]
async fn members_are_discovered_lost_and_replaced() {
    let one = Daemon::start("one", 1, &[]).await;
    let two = Daemon::start("two", 1, &[one.me.control]).await;
    let three = Daemon::start("three", 1, &[one.me.control]).await;
    for daemon in [&one, &two, &three] {
        daemon.wait_until(|roster| roster.live().len() == 3).await;
    }
    let mut events = two.members.events();
    let old = three.me.clone();
    drop(three);
    wait_for_event(&mut events, Event::Lost(old.clone())).await;
    two.wait_until(|roster| roster.liveness("three") == Some(Liveness::Lost))
        .await;
    let next = Daemon::start("three", 2, &[one.me.control]).await;
    let new = next.me.clone();
    wait_for_event(&mut events, Event::Replaced { old, new }).await;
    two.wait_until(|roster| roster.live().len() == 3).await;
}

#[tokio::test]
async fn access_to_the_log_is_reported_with_its_age() {
    let one = Daemon::start("one", 1, &[]).await;
    let two = Daemon::start("two", 1, &[one.me.control]).await;
    two.wait_until(|roster| roster.live().len() == 2).await;
    assert_eq!(two.members.log_last_seen(), None);
    let position = Position {
        log_next: 17,
        manifest: 3,
        sees_log: true,
    };
    one.members.set_position(position);
    let without_log = Position {
        sees_log: false,
        ..position
    };
    one.members.set_position(without_log);
    let seen_at = one.members.log_last_seen().unwrap();
    let reported = async {
        while two.members.log_last_seen().is_none() {
            sleep(ROUND).await;
        }
    };
    timeout(LONG, reported).await.unwrap();
    // The reported time is never later than the true one, however long messages take.
    assert!(two.members.log_last_seen().unwrap() <= seen_at);
    two.wait_until(|roster| roster.members["one"].position == without_log)
        .await;
}

#[tokio::test]
async fn leaving_daemon_announces_it() {
    let one = Daemon::start("one", 1, &[]).await;
    let two = Daemon::start("two", 1, &[one.me.control]).await;
    two.wait_until(|roster| roster.live().len() == 2).await;
    one.members.leave();
    two.wait_until(|roster| roster.members["one"].leaving).await;
    assert_eq!(
        two.members.roster().borrow().liveness("one"),
        Some(Liveness::Live)
    );
}

#[tokio::test]
async fn guard_relays_to_members_only() {
    let one = Daemon::start("one", 1, &[]).await;
    let member_relay = MemberRelay::new(Links::new(), one.members.roster());
    let head = Head {
        id: uuid::Uuid::nil(),
        service: "calendar".to_owned(),
        key: "cabin-17".to_owned(),
        shard: 3,
        class: Class::Interactive,
        repeat: Repeat::Repeatable,
        deadline: LONG,
        caller: IpAddr::V4(Ipv4Addr::LOCALHOST),
        fingerprint: 0,
        method: "GET".to_owned(),
        path: "/".to_owned(),
        headers: Vec::new(),
        hops: 1,
    };
    let request = Request {
        head,
        body: Body::empty(),
    };
    let (listener, non_member) = {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        (listener, address)
    };
    let response = member_relay.relay(non_member, request).await;
    assert_eq!(response.reply.verdict, Verdict::NotRun);
    assert_eq!(response.reply.reason, Some(Reason::NoLeader));
    drop(listener);
}

#[test]
fn relays_near_the_target_come_first() {
    let member = |name: &str, data_centre: &str| {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
        Member {
            name: name.into(),
            incarnation: 1,
            data_centre: data_centre.into(),
            control: address,
            requests: address,
            admin: address,
        }
    };
    let members = [
        member("a", "here"),
        member("b", "here"),
        member("c", "there"),
        member("d", "there"),
        member("e", "elsewhere"),
    ];
    let roster = Roster {
        members: members
            .iter()
            .map(|member| {
                let status = copperwell_peer::members::MemberStatus {
                    member: member.clone(),
                    liveness: Liveness::Live,
                    leaving: false,
                    position: Position::default(),
                };
                (member.name.clone(), status)
            })
            .collect(),
    };
    let relays = roster.relays(&members[0], &members[2]);
    let names: Vec<&str> = relays.iter().map(|member| &*member.name).collect();
    assert_eq!(names, ["d", "b", "e"]);
}
