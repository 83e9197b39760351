//! Tests of decoders of untrusted bytes: any input gives a value or an error.

use crate::sample::{appoint, group, record, runner, service, simple, upstream};
use bincode::Options;
use copperwell_keyspace::{
    batch::Batch,
    manifest::Manifest,
    reader::Reader,
    record::{Body, PLAIN_SIZE_MAX, Record, SIZE_MAX},
};
use proptest::{
    collection::vec,
    prelude::*,
    sample::Index,
    test_runner::{RngAlgorithm, TestRng},
};

/// Builds records of each kind and format.
fn samples() -> Vec<Record> {
    let mut reader = Reader::new();
    let mut records = vec![
        record("one", 1, Body::Manifest(simple(0))),
        record("one", 2, appoint(&group("north"), 0, "one")),
    ];
    for (offset, sample) in (0..).zip(&records) {
        let entry = copperwell_keyspace::batch::Entry {
            offset,
            bytes: sample.encode().expect("a small record"),
        };
        reader.apply_batch(&Batch {
            first: 0,
            next: offset + 1,
            records: vec![entry],
            relayed: None,
        });
    }
    let snapshot = Body::Snapshot(Box::new(reader.snapshot()));
    records.push(record("two", 1, snapshot));
    let many = (0..100).map(|number| upstream(number, "north")).collect();
    let mut long = simple(0);
    long.services.push(service("stock", 100, many));
    let mut next = long.clone();
    next.replaces = 1;
    next.services[1].upstreams[50].slots = 9;
    next.services[1].limits.queue = 9;
    records.push(record("two", 3, Body::publication(Some(&long), &next)));
    records.push(record("two", 2, Body::Manifest(long)));
    records
}

#[test]
fn records_round_trip() {
    for sample in samples() {
        let bytes = sample.encode().expect("a small record");
        let is_long = bincode::serialized_size(&sample).expect("plain data") > 4096;
        assert_eq!(bytes[0], if is_long { 3 } else { 2 });
        assert_eq!(Record::decode(&bytes).expect("a record"), sample);
    }
}

#[test]
fn any_bytes_are_a_record_or_an_error() {
    let run = |mut bytes: Vec<u8>| {
        let _ = Record::decode(&bytes);
        bytes.insert(0, 2);
        let _ = Record::decode(&bytes);
        bytes[0] = 3;
        let _ = Record::decode(&bytes);
        let compressed = miniz_oxide::deflate::compress_to_vec(&bytes[1..], 1);
        let _ = Record::decode(&[&[3], &compressed[..]].concat());
        Ok(())
    };
    let bytes = vec(any::<u8>(), 0..600);
    runner(4000).run(&bytes, run).expect("no case fails");
}

#[test]
fn a_damaged_record_is_a_record_or_an_error() {
    let samples: Vec<Vec<u8>> = samples()
        .iter()
        .map(|sample| sample.encode().expect("a small record"))
        .collect();
    let run = |(which, positions, length): (Index, Vec<(Index, u8)>, Index)| {
        let mut bytes = which.get(&samples).clone();
        for (position, byte) in positions {
            let position = position.index(bytes.len());
            bytes[position] = byte;
        }
        if let Ok(record) = Record::decode(&bytes) {
            prop_assert!(record.encode().is_ok());
        }
        bytes.truncate(length.index(bytes.len()));
        let _ = Record::decode(&bytes);
        Ok(())
    };
    let damage = vec((any::<Index>(), any::<u8>()), 1..6);
    let cases = (any::<Index>(), damage, any::<Index>());
    runner(4000).run(&cases, run).expect("no case fails");
}

#[test]
fn a_record_that_is_too_large_is_rejected() {
    for format in [2, 3] {
        let mut bytes = vec![format];
        bytes.resize(SIZE_MAX + 2, 0);
        assert!(Record::decode(&bytes).is_err());
    }
    let encode_error = |name: String| {
        let mut large = simple(0);
        large.services[0].name = name.into();
        let report = record("one", 1, Body::Manifest(large)).encode();
        format!("{:?}", report.expect_err("too long"))
    };
    let mut random = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let letters = (0..2 * SIZE_MAX).map(|_| char::from(b' ' + (random.next_u32() % 64) as u8));
    assert!(encode_error(letters.collect()).contains("at most 1048576"));
    assert!(encode_error("x".repeat(PLAIN_SIZE_MAX)).contains("at most 8388608"));
}

#[test]
fn a_record_that_decompresses_beyond_the_limit_is_rejected() {
    let with_name_size = |size: usize| {
        let mut large = simple(0);
        large.services[0].name = "x".repeat(size).into();
        record("one", 1, Body::Manifest(large))
    };
    let fits = with_name_size(PLAIN_SIZE_MAX - 1024);
    let bytes = fits.encode().expect("it fits when compressed");
    assert!(bytes.len() < 64 * 1024);
    assert_eq!(Record::decode(&bytes).expect("a record"), fits);
    let too_large = bincode::DefaultOptions::new()
        .serialize(&with_name_size(PLAIN_SIZE_MAX + 1024))
        .expect("plain data");
    let mut bytes = vec![3];
    bytes.extend(miniz_oxide::deflate::compress_to_vec(&too_large, 1));
    assert!(
        bytes.len() < SIZE_MAX,
        "the compressed record is within the size limit"
    );
    assert!(Record::decode(&bytes).is_err());
}

#[test]
fn any_text_is_a_manifest_or_an_error() {
    let words = [
        "replaces", "services", "- ", ": ", "0", "{", "}", "[", "&a", "*a", "\n", "  ",
    ];
    let text = vec(proptest::sample::select(words.to_vec()), 0..60).prop_map(|list| list.concat());
    let run = |text: String| {
        let _ = Manifest::from_yaml(&text);
        Ok(())
    };
    runner(4000).run(&text, run).expect("no case fails");
    let any_text = proptest::string::string_regex("(?s).{0,200}").expect("a pattern");
    runner(1000).run(&any_text, run).expect("no case fails");
}

#[test]
fn any_consistent_batch_is_processed_without_a_panic() {
    let offset = || prop_oneof![4 => 0..9_u64, 1 => any::<u64>(), 1 => Just(u64::MAX)];
    let entries = vec((offset(), vec(any::<u8>(), 0..9)), 0..6);
    let run = |(from, first, next, entries): (u64, u64, u64, Vec<(u64, Vec<u8>)>)| {
        let records = entries
            .into_iter()
            .map(|(offset, bytes)| copperwell_keyspace::batch::Entry { offset, bytes })
            .collect();
        let batch = Batch {
            first,
            next,
            records,
            relayed: None,
        };
        let json = serde_json::to_vec(&batch).expect("JSON");
        let read: Batch = serde_json::from_slice(&json).expect("the same batch");
        prop_assert_eq!(&read, &batch);
        if batch.is_answer_to(from) {
            Reader::new().apply_batch(&batch);
        }
        Ok(())
    };
    let cases = (offset(), offset(), offset(), entries);
    runner(4000).run(&cases, run).expect("no case fails");
}
