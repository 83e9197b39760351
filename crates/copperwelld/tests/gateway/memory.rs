//! Callers who read slowly, and the memory of a daemon.

use std::{process::Stdio, time::Duration};

use crate::{
    harness::{CONDITION_TIMEOUT, Daemon, Harness},
    standin::{
        caller, cluster, config,
        downloads::{self, BODY_BYTES, byte_at},
        endless::memory_max_kib,
        rule, with_memory,
    },
    status_caller::{SERVICE, ask_at},
};
use http::StatusCode;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    sync::watch,
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

/// The memory at which the process is killed on the smallest VMs, in MB.
const MEMORY_MB: u64 = 120;

/// The files that the daemon may open.
const FILES: usize = 2048;

/// The servers of the downloads.
const SERVERS: usize = 40;

/// The callers who read slowly.
const READERS: usize = 700;

/// The receive buffer of a caller, in bytes.
const RECEIVE_BUFFER_BYTES: u32 = 4 << 10;

/// The largest segment that is sent to a caller, in bytes.
const SEGMENT_BYTES: u32 = 536;

/// What a caller reads at a time while it is slow, in bytes, and the pause after it: 10 KB a second.
const SLOW_READ: (usize, Duration) = (1 << 10, Duration::from_millis(100));

/// The time of a download.
const TIME: Duration = Duration::from_secs(110);

/// Asks for a download, reads it slowly until `is_fast`, and returns whether it is complete.
async fn download(address: String, id: String, is_fast: watch::Receiver<bool>) -> bool {
    let Some(mut stream) = ask(&address, &id).await else {
        return false;
    };
    let mut answer = Vec::new();
    loop {
        let slow = !*is_fast.borrow();
        let bytes = if slow { SLOW_READ.0 } else { BODY_BYTES };
        let mut part = (&mut stream).take(bytes as u64);
        if !matches!(part.read_buf(&mut answer).await, Ok(1..)) {
            break;
        }
        if slow {
            sleep(SLOW_READ.1).await;
        }
    }
    let head = answer.windows(4).position(|part| part == b"\r\n\r\n");
    let body = head.and_then(|end| chunks(&answer[end + 4..]));
    answer.starts_with(b"HTTP/1.1 200 ")
        && body.is_some_and(|body| {
            let mut bytes = body.iter().enumerate();
            body.len() == BODY_BYTES && bytes.all(|(at, byte)| *byte == byte_at(at))
        })
}

/// Returns a body that was sent in chunks; `None` if it is not complete.
fn chunks(mut bytes: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let end = bytes.windows(2).position(|part| part == b"\r\n")?;
        let size = std::str::from_utf8(&bytes[..end]).ok()?;
        let size = usize::from_str_radix(size, 16).ok()?;
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(bytes.get(end + 2..end + 2 + size)?);
        bytes = bytes.get(end + 2 + size + 2..)?;
    }
}

/// Connects with a small receive buffer and small segments, by which the daemon's system sizes its send buffer, so that what
/// is not read stays with the daemon.
async fn ask(address: &str, id: &str) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).ok()?;
    SockRef::from(&socket).set_tcp_mss(SEGMENT_BYTES).ok()?;
    let mut stream = socket.connect(address.parse().unwrap()).await.ok()?;
    let fields = format!("{}connection: close\r\n", caller::key_line(1));
    let head = caller::request_head_within("GET", "/odd/1", id, TIME, &fields);
    stream.write_all(head.as_bytes()).await.ok()?;
    Some(stream)
}

/// Returns a metric of a daemon.
async fn metric(harness: &Harness, name: &str) -> Option<f64> {
    let metrics = harness.daemons[0].metrics(&harness.client).await?;
    let mut lines = metrics.lines();
    let line = lines.find(|line| line.split(' ').next() == Some(name))?;
    line.split(' ').nth(1)?.parse().ok()
}

/// Waits until a metric fulfils a condition.
async fn wait_metric(harness: &Harness, name: &str, is_met: impl Fn(f64) -> bool) {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    loop {
        let value = metric(harness, name).await;
        if value.is_some_and(&is_met) {
            return;
        }
        assert!(Instant::now() < deadline, "{name}: {value:?}");
        sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against a process that is killed since it keeps what slow callers do not read, and against slow callers who
/// hold back others, or whose own answers break off.
#[tokio::test(flavor = "multi_thread")]
async fn slow_readers_take_the_memory_of_a_daemon() {
    let mut harness = Harness::start(0).await;
    let mut slow = rule("odd", "idempotent", SERVICE);
    slow["action"]["timeout"] = "110s".into();
    let mut pay = rule("pay", "non_idempotent", "pay");
    pay["action"]["timeout"] = "9s".into();
    let rules = [rule("cups", "idempotent", "cups"), pay, slow];
    let clusters = [
        cluster("cups", true),
        cluster("pay", false),
        cluster(SERVICE, false),
    ];
    harness.store.configure(&config(5, &rules, &clusters));
    downloads::serve(&harness.store.writer(), SERVICE, SERVERS).await;
    let limited = |settings: String| with_memory(&settings, MEMORY_MB, FILES);
    let daemon = Daemon::start_with(&harness.store, Stdio::null(), limited);
    let (id, address) = (daemon.child.id(), format!("{}:{}", daemon.ip, daemon.port));
    harness.daemons.push(daemon);
    harness.wait_served().await;
    let (fast, is_fast) = watch::channel(false);
    let mut readers = JoinSet::new();
    for number in 0..READERS {
        let id = format!("d{number}");
        readers.spawn(download(address.clone(), id, is_fast.clone()));
    }
    wait_metric(&harness, "copperwell_memory_paced_total", |paced| {
        paced > 0.0
    })
    .await;
    // Others are served while the budget is used up, with a body and without one.
    for number in 0..20 {
        let (cup, pay) = (format!("cup-{number}"), format!("pay-{number}"));
        let answer = harness.send(0, "/cups/1", &cup, 7);
        let answer = timeout(CONDITION_TIMEOUT, answer).await.unwrap();
        assert!(answer.is_some_and(|(status, _)| status == StatusCode::OK));
        let statuses = ask_at(&harness.daemons[0], "POST", "/pay/1", &pay).await;
        assert_eq!(statuses, ["200", "200"]);
    }
    fast.send(true).unwrap();
    let mut complete = 0;
    while let Some(is_complete) = readers.join_next().await {
        complete += usize::from(is_complete.unwrap());
    }
    assert_eq!(complete, READERS);
    let memory = memory_max_kib(id);
    assert!(memory <= MEMORY_MB << 10, "{memory} KiB");
    wait_metric(&harness, "copperwell_memory_buffered_bytes", |bytes| {
        bytes == 0.0
    })
    .await;
}

/// The memory of a process whose budget has room for four bodies of requests.
const TINY_MEMORY_MB: u64 = 1;

/// The bodies for which there is room.
const BODIES: usize = 4;

/// The length of a body, in bytes.
const REQUEST_BYTES: usize = 64 << 10;

/// Begins a request with a body of which half is sent.
async fn begin(address: &str, id: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let fields = format!(
        "{}connection: close\r\ncontent-length: {REQUEST_BYTES}\r\n",
        caller::key_line(1)
    );
    let head = caller::request_head_within("POST", "/pay/1", id, TIME, &fields);
    stream.write_all(head.as_bytes()).await.unwrap();
    let half = vec![b'b'; REQUEST_BYTES / 2];
    stream.write_all(&half).await.unwrap();
    stream
}

/// Returns the status of the answer to a request.
async fn status(mut stream: TcpStream) -> String {
    let mut answer = Vec::new();
    // A connection that is closed with bytes unread may be reset behind the answer.
    let _ = timeout(CONDITION_TIMEOUT, stream.read_to_end(&mut answer)).await;
    let answer = String::from_utf8_lossy(&answer);
    answer.split(' ').nth(1).unwrap_or_default().to_owned()
}

/// Guards against bodies of requests that take more memory than there is, and against room that is not given back by
/// requests that end or whose callers leave.
#[tokio::test(flavor = "multi_thread")]
async fn request_without_room_for_its_body_is_accepted() {
    let mut harness = Harness::start(0).await;
    let mut pay = rule("pay", "non_idempotent", "pay");
    pay["action"]["timeout"] = "110s".into();
    let rules = [rule("cups", "idempotent", "cups"), pay];
    let clusters = [cluster("cups", true), cluster("pay", false)];
    harness.store.configure(&config(5, &rules, &clusters));
    let limited = |settings: String| with_memory(&settings, TINY_MEMORY_MB, FILES);
    let daemon = Daemon::start_with(&harness.store, Stdio::null(), limited);
    let address = format!("{}:{}", daemon.ip, daemon.port);
    harness.daemons.push(daemon);
    harness.wait_served().await;
    for is_left in [true, false] {
        let mut begun = Vec::new();
        for number in 0..BODIES {
            begun.push(begin(&address, &format!("{is_left}-{number}")).await);
        }
        let all = (BODIES * REQUEST_BYTES) as f64;
        wait_metric(&harness, "copperwell_memory_buffered_bytes", |bytes| {
            bytes == all
        })
        .await;
        let refused = begin(&address, &format!("{is_left}-refused")).await;
        assert_eq!(status(refused).await, "503");
        let cup = format!("{is_left}-cup");
        let served = harness.send(0, "/cups/1", &cup, 7);
        assert!(
            served
                .await
                .is_some_and(|(status, _)| status == StatusCode::OK)
        );
        // Its answer was not read whole, as there was no room either.
        wait_metric(&harness, "copperwell_memory_streamed_total", |streamed| {
            streamed > 0.0
        })
        .await;
        for mut stream in begun {
            if is_left {
                continue;
            }
            let half = vec![b'b'; REQUEST_BYTES / 2];
            stream.write_all(&half).await.unwrap();
            assert_eq!(status(stream).await, "200");
        }
        wait_metric(&harness, "copperwell_memory_buffered_bytes", |bytes| {
            bytes == 0.0
        })
        .await;
    }
    let runs = harness.servers.iter().flat_map(|server| server.runs());
    let refused = runs.filter(|id| id.ends_with("refused")).count();
    assert_eq!(refused, 0);
}
