//! Messages between daemons and entries in the store, as commit `852fc41` wrote them.
//!
//! `wire/852fc41.txt` holds the bytes. They were written by that commit and are never written anew: a test that fails
//! here has found a change that daemons of that release cannot live with.

use std::{net::SocketAddr, time::Duration};

use bincode::{DefaultOptions, Options};
use copperwell_assignment::{
    Holder,
    demand::{Pace, Report},
    exchange::{Client, Request, Response, Server, Standing},
    lease::{Lapse, LeaderEntry},
    limits, plan, quarantine,
    reach::Helper,
    shared::Shared,
    store_state::{Delta, ListVersion, Newest, UpstreamList},
    table::{Table, Tables, Version},
    transfer::{self, Chunk},
    update::{Step, Update},
};
use copperwell_routing::{
    configuration::{Configuration, Limits, Part, Route},
    evacuation::{self, Evacuations},
    limit,
    quarantine::{Crash, Entry as Suspect},
    registry::Upstream,
};
use serde::{Serialize, de::DeserializeOwned};
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// The bytes of each message, as hexadecimal digits after its name.
const RECORDED: &str = include_str!("wire/852fc41.txt");

fn recorded(name: &str) -> Vec<u8> {
    let line = RECORDED.lines().find_map(|line| {
        let (known, digits) = line.split_once(' ')?;
        (known == name).then_some(digits)
    });
    let digits = line.unwrap_or_else(|| panic!("{name} was not recorded"));
    let byte = |at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap();
    (0..digits.len()).step_by(2).map(byte).collect()
}

fn address(port: u16) -> SocketAddr {
    ([10, 1, 0, 18], port).into()
}

fn upstream(id: &str, is_draining: bool) -> Upstream {
    Upstream {
        id: id.into(),
        born: 1_790_000_000_123,
        service: "cups".into(),
        address: address(9_000),
        zone: "here".into(),
        slots: 2,
        is_draining,
        warmup: Duration::from_millis(1_500),
    }
}

fn leader() -> LeaderEntry {
    LeaderEntry {
        name: "front-1".into(),
        run: 77,
        address: address(7_200),
        term: 12,
        beat: 34,
        number: 56,
        is_over: true,
        grants_end: Duration::from_millis(4_321),
        generation: 2,
        unknown_for: Duration::from_millis(987),
    }
}

fn plan() -> plan::Plan {
    let range = |first, last, holder| plan::Range {
        first,
        last,
        holder,
        fence: 1_000,
    };
    let holder = Holder {
        id: "u1".into(),
        born: 1_790_000_000_123,
    };
    plan::Plan {
        fence: 1_001,
        ranges: vec![range(0, 32_767, Some(holder)), range(32_768, 65_535, None)],
    }
}

fn version(number: u64) -> Version {
    Version { term: 12, number }
}

fn tables(number: u64, second: Option<&str>) -> Tables {
    let (first, second) = ("u1".into(), second.map(Into::into));
    let table = Table::new([(0, Some(&first)), (30_000, second.as_ref())]);
    Tables {
        version: version(number),
        services: [("cups".into(), table.with_admits(|_| 90))]
            .into_iter()
            .collect(),
    }
}

fn step() -> Step {
    Step::between(&tables(5, None), &tables(6, Some("u2"))).unwrap()
}

fn suspect() -> Suspect {
    let crash = Crash {
        upstream: "u1".into(),
        born: 5,
        sent: Duration::from_millis(200),
        lost: Some(Duration::from_millis(100)),
    };
    Suspect {
        request: 4_711,
        crashes: vec![crash.clone()],
        explains: vec![crash],
        answered: Some(Duration::from_secs(3)),
        refusals: 2,
        left: None,
    }
}

fn limit() -> limit::Entry {
    limit::Entry {
        upstream: "u1".into(),
        born: 5,
        rate: Some(17.5),
        age: Duration::from_millis(40),
    }
}

fn helper() -> Helper {
    Helper {
        name: "front-2".into(),
        address: address(7_201),
        zone: "here".into(),
        lost: vec!["u1".into(), "u2".into()],
        leaving: vec![("u3".into(), 5)],
    }
}

fn request() -> Request {
    Request {
        from: "front-2".into(),
        strength: 500,
        knows: version(5),
        base: Some(version(4)),
        address: address(7_200),
        configuration: 30,
        announced: 31,
        list: ListVersion { run: 77, number: 8 },
        store_age: Some(Duration::from_millis(900)),
        reports: vec![Report {
            service: "cups".into(),
            requests: 3,
            keys: vec![(17, 120)],
            upstreams: vec![("u1".into(), Pace::default())],
        }],
        quarantine: 6,
        limits: vec![limit()],
        limits_version: 7,
    }
}

fn response(tables: Update, upstreams: UpstreamList) -> Response {
    Response {
        standing: Standing::Lapsed(Lapse {
            term: 12,
            beat: 34,
            grants_end: Duration::from_secs(5),
        }),
        candidates: vec!["front-2".into()],
        successor: Some(leader()),
        daemons: 295,
        tables: Some(tables),
        delta: Some(Delta {
            configuration: 31,
            difference: Some(vec![1, 2, 3].into()),
            list: ListVersion { run: 77, number: 9 },
            age: Duration::from_millis(250),
            upstreams: Some(upstreams),
        }),
        holders: vec![address(7_200)],
        quarantine: Some(quarantine::Snapshot {
            version: 6,
            entries: vec![suspect()],
        }),
        limits: Some(limits::Snapshot {
            version: 7,
            entries: vec![limit()],
        }),
    }
}

fn response_with_wholes() -> Response {
    let list = UpstreamList::Whole(vec![upstream("u1", false), upstream("u2", true)]);
    response(Update::Whole(tables(6, Some("u2"))), list)
}

fn response_with_changes() -> Response {
    let list = UpstreamList::Changed {
        from: ListVersion { run: 77, number: 8 },
        changed: vec![upstream("u2", true)],
        gone: vec!["u3".into()],
    };
    response(Update::Steps(vec![step()]), list)
}

fn configuration(number: u64, hosts: &[&str]) -> Configuration {
    let limits = Limits {
        head_bytes: 16 << 10,
        body_bytes: 1 << 20,
        head_time: Duration::from_secs(3),
        idle_time: Duration::from_secs(15),
    };
    let route = |host: &&str| {
        let part = Part {
            service: "cups".into(),
            weight: 1,
        };
        Route::new(format!("r-{host}"), host, "/p/", [part])
    };
    Configuration::new(number, limits, [], hosts.iter().map(route))
}

fn difference() -> copperwell_routing::configuration::difference::Difference {
    let before = configuration(30, &["a.example", "b.example"]);
    configuration(31, &["a.example", "c.example"]).difference_from(Some(&before))
}

/// Both ways: what that release wrote is read, and what is written now is what that release reads.
fn check<T: Serialize + DeserializeOwned>(name: &str, value: &T, options: impl Options + Copy) {
    let bytes = recorded(name);
    assert_eq!(options.serialize(value).unwrap(), bytes, "{name}");
    let read: T = options.deserialize(&bytes).unwrap();
    assert_eq!(options.serialize(&read).unwrap(), bytes, "{name}");
}

/// Entries in the store, and what is compressed, have numbers of fixed size.
fn check_entry<T: Serialize + DeserializeOwned>(name: &str, value: &T) {
    check(name, value, DefaultOptions::new().with_fixint_encoding());
}

/// Calls between daemons have numbers of varying size.
fn check_message<T: Serialize + DeserializeOwned>(name: &str, value: &T) {
    check(name, value, DefaultOptions::new());
}

#[test]
fn messages_and_entries_differ_from_those_of_852fc41() {
    check_entry("leader-entry", &leader());
    check_entry("plan", &plan());
    check_message("request", &request());
    check_message("response-with-wholes", &response_with_wholes());
    check_message("response-with-changes", &response_with_changes());
    check_message("suspects", &vec![suspect()]);
    check_message("helper", &helper());
    check_entry("difference", &difference());
    let chunk = Chunk {
        length: 70_000,
        bytes: vec![1, 2, 3],
    };
    check_message("chunk", &chunk);
    let newest = Newest {
        version: 31,
        age: Duration::from_millis(12),
    };
    check_message("newest", &Some(newest));
    let reserved: Option<Result<Duration, Duration>> = Some(Err(Duration::from_millis(5)));
    check_message("reserved", &reserved);
}

#[test]
fn encoded_configuration_of_852fc41_is_not_read() {
    let read = transfer::decode(&recorded("encoded-difference")).unwrap();
    let before = configuration(30, &["a.example", "b.example"]);
    let after = read.apply(Some(&before)).unwrap();
    assert_eq!(after.version, 31);
    assert!(after.route("c.example", "/p/x").is_some());
    assert!(after.route("b.example", "/p/x").is_none());
}

/// A frame is its length, then the number of the call, whether it succeeded, and which call it was.
#[test_case("call-exchange", 0)]
#[test_case("call-report-crashes", 1)]
#[test_case("call-reserve", 2)]
#[test_case("call-read-configuration", 3)]
#[test_case("call-announce-successor", 4)]
#[test_case("call-successors", 5)]
#[test_case("call-newest-configuration", 6)]
#[test_case("call-report-reach", 7)]
#[tokio::test]
async fn call_of_852fc41_is_not_answered(name: &str, call: u8) {
    let (server, _reports) = Server::new(&Shared::new(1));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(server.serve(listener));
    let mut connection = TcpStream::connect(address).await.unwrap();
    connection.write_all(&recorded(name)).await.unwrap();
    let length = connection.read_u32().await.unwrap();
    let mut frame = vec![0; length as usize];
    connection.read_exact(&mut frame).await.unwrap();
    assert_eq!(frame[..3], [0, 0, call]);
}

/// Serves one connection as a daemon of that release did, whatever is asked.
async fn daemon_that_answers(name: &str) -> Client {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let answer = recorded(name);
    tokio::spawn(async move {
        let (mut connection, _) = listener.accept().await.unwrap();
        let length = connection.read_u32().await.unwrap();
        let mut frame = vec![0; length as usize];
        connection.read_exact(&mut frame).await.unwrap();
        connection.write_all(&answer).await.unwrap();
        // Keeps the connection open until the client has closed it.
        let _ = connection.read_u8().await;
    });
    Client::connect(address).await.unwrap()
}

#[tokio::test]
async fn answers_of_852fc41_are_not_read() {
    let client = daemon_that_answers("answer-exchange").await;
    let answer = client.exchange(request()).await.unwrap();
    assert_eq!(answer.standing, Standing::Follows);
    assert_eq!(answer.daemons, 1);
    let delta = answer.delta.unwrap();
    let list = UpstreamList::Whole(vec![upstream("u1", false)]);
    assert_eq!(delta.upstreams, Some(list));
    let client = daemon_that_answers("answer-newest-configuration").await;
    let newest = client.newest_configuration().await.unwrap().unwrap();
    assert_eq!(newest.version, 31);
    let client = daemon_that_answers("answer-successors").await;
    assert_eq!(client.successors().await, Some(Vec::new()));
    let client = daemon_that_answers("answer-read-configuration").await;
    let read = client.read_configuration(30, 31, || {}).await.unwrap();
    assert!(transfer::decode(&read).is_some());
}

/// Guards against an exchange with more at its end: daemons of that release reject the whole answer.
#[test]
fn answer_with_more_at_its_end_is_read() {
    let mut bytes = recorded("response-with-wholes");
    bytes.push(0);
    assert!(
        DefaultOptions::new()
            .deserialize::<Response>(&bytes)
            .is_err()
    );
}

/// Guards against evacuations that a daemon does not hear of until it asks again, and against one that waits for a
/// leader of an earlier release, which closes the connection.
#[tokio::test]
async fn evacuations_are_not_passed_on() {
    let shared = Shared::new(1);
    let (server, _reports) = Server::new(&shared);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(server.serve(listener));
    let client = Client::connect(address).await.unwrap();
    let version = |offset| evacuation::Version { era: 0, offset };
    let evacuations = Evacuations {
        version: version(3),
        zones: [copperwell_routing::ZoneName::from("here")].into(),
    };
    let wait = Duration::from_secs(4);
    let (heard, _) = tokio::join!(client.evacuations(version(2), wait), async {
        tokio::task::yield_now().await;
        shared.evacuations.send_replace(evacuations.clone())
    });
    assert_eq!(heard, Some(evacuations.clone()));
    let heard = client.evacuations(version(9), Duration::ZERO).await;
    assert_eq!(heard, Some(evacuations));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut connection, _) = listener.accept().await.unwrap();
        let _ = connection.read_u32().await;
    });
    let client = Client::connect(address).await.unwrap();
    assert_eq!(client.evacuations(version(0), wait).await, None);
}
