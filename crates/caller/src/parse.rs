//! From an HTTP request to a head.

use std::{net::IpAddr, time::Duration};

use crate::header;
use copperwell_keyspace::{manifest::Service, shard};
use copperwell_message::{Head, Reason, Repeat};
use http::{HeaderMap, Method, request::Parts};
use uuid::Uuid;

/// The parts of a path `/SERVICE/KEY/REST`.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Target<'a> {
    pub(crate) service: &'a str,
    pub(crate) key: &'a str,
    pub(crate) rest: &'a str,
}

/// Splits a path and query.
pub(crate) fn target(path_and_query: &str) -> Result<Target<'_>, Reason> {
    let path = path_and_query.strip_prefix('/').ok_or(Reason::BadRequest)?;
    let (service, after) = path.split_once('/').ok_or(Reason::BadRequest)?;
    let end = after.find(['/', '?']).unwrap_or(after.len());
    let (key, rest) = after.split_at(end);
    if service.is_empty() || key.is_empty() {
        return Err(Reason::BadRequest);
    }
    Ok(Target { service, key, rest })
}

/// Builds the head of a request; the fingerprint is still to come.
pub(crate) fn head(
    parts: &Parts,
    target: &Target<'_>,
    service: &Service,
    caller: IpAddr,
) -> Result<Head, Reason> {
    let rest = target.rest;
    let path = if rest.starts_with('/') {
        rest.to_owned()
    } else {
        format!("/{rest}")
    };
    Ok(Head {
        id: Uuid::now_v7(),
        service: target.service.to_owned(),
        key: target.key.to_owned(),
        shard: shard::index_of(target.key, service.shards),
        class: service.class,
        repeat: repeat(&parts.method, &parts.headers)?,
        deadline: deadline(&parts.headers, service.limits.deadline)?,
        caller,
        fingerprint: 0,
        method: parts.method.as_str().to_owned(),
        path,
        headers: end_to_end(&parts.headers),
        hops: 0,
    })
}

/// Whether a request may run more than once.
///
/// An idempotency key always means at most once. Without one, only methods that HTTP defines as
/// idempotent are repeatable.
fn repeat(method: &Method, headers: &HeaderMap) -> Result<Repeat, Reason> {
    let Some(value) = headers.get(header::IDEMPOTENCY) else {
        return if method.is_idempotent() {
            Ok(Repeat::Repeatable)
        } else {
            Err(Reason::IdempotencyKeyMissing)
        };
    };
    let text = value.to_str().map_err(|_| Reason::IdempotencyKeyInvalid)?;
    let id = Uuid::parse_str(text).map_err(|_| Reason::IdempotencyKeyInvalid)?;
    if id.get_version_num() != 7 {
        return Err(Reason::IdempotencyKeyInvalid);
    }
    Ok(Repeat::Once(id))
}

fn deadline(headers: &HeaderMap, longest: Duration) -> Result<Duration, Reason> {
    let Some(value) = headers.get(header::DEADLINE) else {
        return Ok(longest);
    };
    let text = value.to_str().map_err(|_| Reason::BadRequest)?;
    let millis = text.parse().map_err(|_| Reason::BadRequest)?;
    Ok(Duration::from_millis(millis).min(longest))
}

fn end_to_end(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let passed = headers.iter().filter(|(name, _)| {
        let name = name.as_str();
        !header::HOP_BY_HOP.contains(&name) && name != header::DEADLINE
    });
    passed
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect()
}
