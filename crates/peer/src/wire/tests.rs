use std::{net::IpAddr, time::Duration};

use super::{Answer, Decoder, Error, Opening, SIZE_MAX, encode};
use copperwell_message::{Class, Head, Reason, Repeat, Reply, Verdict};
use proptest::{collection::vec, prelude::*};
use uuid::Uuid;

fn opening() -> impl Strategy<Value = Opening> {
    let names = ("[a-z]{0,9}", "\\PC{0,40}", "/\\PC{0,40}");
    let headers = vec(("[a-z-]{1,9}", vec(any::<u8>(), 0..40)), 0..5);
    let numbers = (any::<u128>(), any::<u32>(), any::<u32>(), any::<bool>());
    let rest = (any::<Option<u64>>(), any::<IpAddr>(), any::<Option<u16>>());
    (names, headers, numbers, rest).prop_map(|(names, headers, numbers, rest)| {
        let (service, key, path) = names;
        let (id, shard, millis, once) = numbers;
        let (length, caller, port) = rest;
        let id = Uuid::from_u128(id);
        let head = Head {
            id,
            service,
            key,
            shard,
            class: Class::Batch,
            repeat: if once {
                Repeat::Once(id)
            } else {
                Repeat::Repeatable
            },
            deadline: Duration::from_millis(millis.into()),
            caller,
            fingerprint: u64::from(millis),
            method: "PUT".to_owned(),
            path,
            headers,
            hops: 1,
        };
        Opening {
            target: port.map(|port| (caller, port).into()),
            length,
            head,
        }
    })
}

proptest! {
    #[test]
    fn message_survives_any_split(
        opening in opening(),
        body in vec(any::<u8>(), 0..100),
        size in 1_usize..50,
    ) {
        let bytes = encode(&opening, &body).unwrap();
        let mut decoder = Decoder::default();
        let mut read = None;
        let mut rest = Vec::new();
        for chunk in bytes.chunks(size) {
            if read.is_some() {
                rest.extend_from_slice(chunk);
            } else {
                read = decoder.push::<Opening>(chunk).unwrap();
            }
        }
        let rest = [&decoder.rest()[..], &rest[..]].concat();
        prop_assert_eq!(read, Some(opening));
        prop_assert_eq!(rest, body);
    }

    #[test]
    fn any_bytes_are_a_message_or_an_error(bytes in vec(any::<u8>(), 0..300)) {
        let mut decoder = Decoder::default();
        if let Ok(Some(answer)) = decoder.push::<Answer>(&bytes) {
            let again = encode(&answer, &decoder.rest()).unwrap();
            prop_assert!(again.len() <= bytes.len());
        }
    }

    #[test]
    fn a_damaged_message_is_never_read_past_its_end(
        opening in opening(),
        at in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut bytes = encode(&opening, &[]).unwrap().to_vec();
        let at = at.index(bytes.len());
        bytes[at] = byte;
        let size = bytes.len();
        let mut decoder = Decoder::default();
        if let Ok(Some(read)) = decoder.push::<Opening>(&bytes) {
            prop_assert!(encode(&read, &decoder.rest()).unwrap().len() <= size);
        }
    }
}

#[test]
fn long_messages_are_refused_on_both_sides() {
    let reply = Reply {
        status: 200,
        headers: vec![("x".to_owned(), vec![0; SIZE_MAX])],
        verdict: Verdict::Done,
        reason: Some(Reason::Shed),
        retry_after: None,
    };
    let answer = Answer {
        length: None,
        reply,
    };
    assert_eq!(encode(&answer, &[]), Err(Error));
    let prefix = u32::try_from(SIZE_MAX + 1).unwrap().to_be_bytes();
    let read = Decoder::default().push::<Answer>(&prefix);
    assert_eq!(read, Err(Error));
}
