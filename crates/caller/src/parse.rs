//! Parsing of HTTP requests into request heads.

use std::{
    net::IpAddr,
    time::{Duration, SystemTime},
};

use crate::{header, refusal::Refusal};
use copperwell_keyspace::{manifest::Service, shard};
use copperwell_message::{Class, Head, Reason, Repeat};
use copperwell_policy::window::{CLOCK_SKEW_MAX, created_at};
use http::{HeaderMap, Method, request::Parts};
use uuid::{Builder, Uuid};

/// The separator of the keys of a multi-key request.
const KEY_SEPARATOR: char = ',';

/// The maximum number of keys of one request.
pub(crate) const KEYS_MAX: usize = 1024;

/// The parts of a path `/SERVICE/KEY/REST`.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Target<'a> {
    pub(crate) service: &'a str,
    pub(crate) keys: Vec<&'a str>,
    pub(crate) rest: &'a str,
}

/// Parses a path and query.
pub(crate) fn target(path_and_query: &str) -> Result<Target<'_>, Refusal> {
    let bad_form = || Refusal::new(Reason::BadRequest, "The path is not /SERVICE/KEY/REST.");
    let path = path_and_query.strip_prefix('/').ok_or_else(bad_form)?;
    let (service, after) = path.split_once('/').ok_or_else(bad_form)?;
    let end = after.find(['/', '?']).unwrap_or(after.len());
    let (keys, rest) = after.split_at(end);
    if service.is_empty() || keys.is_empty() {
        return Err(bad_form());
    }
    let keys: Vec<&str> = keys.split(KEY_SEPARATOR).collect();
    if keys.len() > KEYS_MAX {
        let detail = format!("{} keys are asked, at most {KEYS_MAX} fit.", keys.len());
        return Err(Refusal::new(Reason::TooLarge, detail));
    }
    if keys.contains(&"") {
        let detail = "A key is empty; write a comma within a key as %2C.";
        return Err(Refusal::new(Reason::BadRequest, detail));
    }
    Ok(Target {
        service,
        keys,
        rest,
    })
}

/// Builds the head of a request for the first of its keys, without the fingerprint, which needs the
/// body.
pub(crate) fn head(
    parts: &Parts,
    target: &Target<'_>,
    service: &Service,
    caller: IpAddr,
    now: SystemTime,
) -> Result<Head, Refusal> {
    let key = target.keys.first().copied().unwrap_or_default();
    let rest = target.rest;
    let path = if rest.starts_with('/') {
        rest.to_owned()
    } else {
        format!("/{rest}")
    };
    Ok(Head {
        id: new_id(now),
        service: target.service.to_owned(),
        key: key.to_owned(),
        shard: shard::index_of(key, service.shards),
        class: service.class,
        repeat: repeat(&parts.method, &parts.headers, now)?,
        deadline: deadline(&parts.headers, service.limits.deadline)?,
        caller,
        fingerprint: 0,
        method: parts.method.as_str().to_owned(),
        path,
        headers: header::forwarded(&parts.headers),
        hops: 0,
    })
}

/// Builds the head of one part of a multi-key request.
pub(crate) fn part(request: &Head, key: &str, service: &Service, body: &[u8]) -> Head {
    let mut head = request.clone();
    head.id = part_id(request.id);
    head.key = key.to_owned();
    head.shard = shard::index_of(key, service.shards);
    head.class = Class::Batch;
    head.fingerprint = fingerprint(&head, body);
    head
}

/// Returns the id of a new request.
///
/// The thread-local random number generator saves a system call per request.
fn new_id(now: SystemTime) -> Uuid {
    let age = now.duration_since(SystemTime::UNIX_EPOCH);
    let milliseconds = age.map_or(0, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
    Builder::from_unix_timestamp_millis(milliseconds, &rand::random()).into_uuid()
}

/// Returns the id of a part, with the same timestamp as the id of the whole request.
fn part_id(request_id: Uuid) -> Uuid {
    let created = created_at(request_id).unwrap_or(SystemTime::UNIX_EPOCH);
    new_id(created)
}

/// Returns a hash of what makes two requests the same to a server: service, key, method, path and
/// body.
pub(crate) fn fingerprint(head: &Head, body: &[u8]) -> u64 {
    Head::fingerprint_of(&head.service, &head.key, &head.method, &head.path, body)
}

/// Returns whether a request may run more than once.
///
/// An idempotency key always makes a request run at most once. Without one, only methods that HTTP
/// defines as idempotent are repeatable.
fn repeat(method: &Method, headers: &HeaderMap, now: SystemTime) -> Result<Repeat, Refusal> {
    let mut values = headers.get_all(header::IDEMPOTENCY_KEY).iter();
    let Some(value) = values.next() else {
        return if method.is_idempotent() {
            Ok(Repeat::Repeatable)
        } else {
            Err(Reason::IdempotencyKeyMissing.into())
        };
    };
    if values.next().is_some() {
        return Err(invalid("The request has more than one idempotency key."));
    }
    let id = value
        .to_str()
        .ok()
        .and_then(|text| Uuid::parse_str(text).ok());
    let id = id.ok_or_else(|| invalid("The idempotency key is not a UUID."))?;
    let created =
        created_at(id).ok_or_else(|| invalid("The idempotency key is not of version 7."))?;
    if created > now + CLOCK_SKEW_MAX {
        return Err(invalid("The idempotency key is from the future."));
    }
    Ok(Repeat::Once(id))
}

fn invalid(detail: &str) -> Refusal {
    Refusal::new(Reason::IdempotencyKeyInvalid, detail)
}

/// Returns the time until the caller gives up: at most `deadline_max`, which is also the default.
fn deadline(headers: &HeaderMap, deadline_max: Duration) -> Result<Duration, Refusal> {
    let Some(value) = headers.get(header::DEADLINE) else {
        return Ok(deadline_max);
    };
    let milliseconds = value.to_str().ok().and_then(|text| text.parse().ok());
    let milliseconds = milliseconds.ok_or_else(|| {
        let detail = format!("{} is not a number of milliseconds.", header::DEADLINE);
        Refusal::new(Reason::BadRequest, detail)
    })?;
    Ok(Duration::from_millis(milliseconds).min(deadline_max))
}
