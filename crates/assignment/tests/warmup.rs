//! Reservations of requests to upstreams that warm up, between daemons.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use copperwell_assignment::{
    exchange::{Client, Server, Standing},
    lease::Lapse,
    shared::Shared,
    warmup::{Refused, SharedWarmups},
};
use copperwell_routing::warmup::{Allowance, Limit, RESERVATION_TTL};
use tokio::{
    io::AsyncReadExt,
    net::TcpListener,
    task::JoinSet,
    time::{Instant, advance, sleep},
};

/// The daemons of a fleet.
const DAEMONS: usize = 83;

/// The limit of deployments: one leader admits 7 of 14 requests a second.
fn limit() -> Limit {
    let allowance = Allowance {
        overshoot: 1.5,
        slack: 8.0,
    };
    Limit::new(4.1, allowance)
}

async fn acquire(warmups: &SharedWarmups) -> Result<(), Refused> {
    let id = "cold".into();
    let reserved = warmups.acquire(&id, limit(), Duration::ZERO).await;
    reserved.map(|reservation| {
        // The answer may have been late.
        assert!(!reservation.is_valid("other", Instant::now()));
    })
}

/// Guards against requests of daemons that have no leader, each of which would have a schedule of its own.
#[tokio::test(start_paused = true)]
async fn daemon_without_a_leader_reserves_requests() {
    let shared = Shared::new(1);
    let (server, _reports) = Server::new(&shared);
    let warmups = &shared.warmups;
    assert_eq!(acquire(warmups).await, Err(Refused::NoLeader));
    let lapse = Lapse {
        term: 1,
        beat: 1,
        grants_end: Duration::ZERO,
    };
    for (standing, leads) in [
        (Standing::Leads, true),
        (Standing::Follows, false),
        (Standing::Leads, true),
        (Standing::Lapsed(lapse), false),
    ] {
        server.set_standing(standing);
        let is_answered = acquire(warmups).await != Err(Refused::NoLeader);
        assert_eq!(is_answered, leads, "{standing:?}");
    }
}

/// Guards against a daemon that leads, follows for a moment and leads again with an empty schedule.
#[tokio::test(start_paused = true)]
async fn daemon_that_leads_again_forgets_its_reservations() {
    let shared = Shared::new(1);
    let (server, _reports) = Server::new(&shared);
    let mut reserved = 0;
    for _ in 0..10 {
        server.set_standing(Standing::Leads);
        for _ in 0..DAEMONS {
            reserved += usize::from(acquire(&shared.warmups).await.is_ok());
        }
        server.set_standing(Standing::Follows);
        advance(Duration::from_millis(50)).await;
    }
    assert!(reserved <= limit().share(), "{reserved}");
}

/// Guards against a reservation that is used before it is due, after it has expired, or for another upstream.
#[tokio::test(start_paused = true)]
async fn reservation_is_valid_at_any_time() {
    let shared = Shared::new(1);
    let (server, _reports) = Server::new(&shared);
    server.set_standing(Standing::Leads);
    let id = "cold".into();
    while acquire(&shared.warmups).await.is_ok() {}
    let patience = Duration::from_secs(1);
    let reserved = shared.warmups.acquire(&id, limit(), patience);
    let reservation = reserved.await.unwrap();
    assert!(!reservation.is_valid(&id, Instant::now()));
    reservation.wait_due().await;
    let due = Instant::now();
    assert!(reservation.is_valid(&id, due));
    assert!(!reservation.is_valid("other", due));
    // Timers end up to a millisecond late.
    let margin = Duration::from_millis(2);
    assert!(reservation.is_valid(&id, due + RESERVATION_TTL - margin));
    let late = due + RESERVATION_TTL + margin;
    assert!(!reservation.is_valid(&id, late));
}

/// Guards against a flood of connections to a leader of an earlier release, which closes each on the unknown call.
#[tokio::test(start_paused = true)]
async fn daemon_connects_again_and_again_to_a_leader_that_does_not_answer() {
    let warmups = Arc::new(SharedWarmups::default());
    let connects = Arc::new(AtomicUsize::new(0));
    let (following, counted) = (warmups.clone(), connects.clone());
    let connecting = tokio::spawn(async move {
        let connect = || async {
            counted.fetch_add(1, Ordering::Relaxed);
            None::<Client>
        };
        following.follow(connect).await;
    });
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(5) {
        assert_eq!(acquire(&warmups).await, Err(Refused::NoLeader));
        sleep(Duration::from_millis(20)).await;
    }
    let connects = connects.load(Ordering::Relaxed);
    assert!((1..=6).contains(&connects), "{connects}");
    connecting.abort();
}

/// Guards against daemons that all find one cold upstream idle, and each reserve requests to it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn daemons_that_ask_one_leader_reserve_more_than_its_share() {
    let leader = Shared::new(1);
    let (server, _reports) = Server::new(&leader);
    server.set_standing(Standing::Leads);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(server.serve(listener));
    let start = Instant::now();
    let mut daemons = JoinSet::new();
    for _ in 0..DAEMONS {
        daemons.spawn(async move {
            let warmups = Arc::new(SharedWarmups::default());
            let following = warmups.clone();
            let followed = tokio::spawn(async move {
                following.follow(|| Client::connect(address)).await;
            });
            let mut reserved = Vec::new();
            for _ in 0..40 {
                if acquire(&warmups).await.is_ok() {
                    reserved.push(start.elapsed());
                }
                sleep(Duration::from_millis(10)).await;
            }
            followed.abort();
            reserved
        });
    }
    let reserved = daemons.join_all().await.concat().len();
    assert!(reserved > 0);
    // The rule holds for any second, however long the daemons took.
    let seconds = start.elapsed().as_secs() as usize + 1;
    assert!(
        reserved <= limit().share() * seconds,
        "{reserved} in {seconds} s"
    );
}

/// Guards against a daemon that goes on with a connection which its leader, of an earlier release, has closed on the
/// unknown call, and against one that opens another for each request.
#[tokio::test]
async fn leader_of_an_earlier_release_is_flooded_with_connections() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepted = Arc::new(AtomicUsize::new(0));
    let counted = accepted.clone();
    let closing = tokio::spawn(async move {
        loop {
            let (mut connection, _) = listener.accept().await.unwrap();
            counted.fetch_add(1, Ordering::Relaxed);
            // Closes the connection once the call has begun to arrive.
            let _ = connection.read_u8().await;
        }
    });
    let warmups = Arc::new(SharedWarmups::default());
    let following = warmups.clone();
    let followed = tokio::spawn(async move {
        following.follow(|| Client::connect(address)).await;
    });
    let start = Instant::now();
    for _ in 0..10 {
        assert_eq!(acquire(&warmups).await, Err(Refused::NoLeader));
    }
    let accepted = accepted.load(Ordering::Relaxed);
    let seconds = start.elapsed().as_secs() as usize;
    assert!((1..=seconds + 2).contains(&accepted), "{accepted}");
    followed.abort();
    closing.abort();
}
