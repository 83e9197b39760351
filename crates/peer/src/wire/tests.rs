use std::{net::IpAddr, time::Duration};

use super::{Decoder, Error, MESSAGE_MAX_BYTES, RequestHeader, ResponseHeader, encode};
use copperwell_message::{Class, Head, Reason, Repeat, Reply, Verdict};
use proptest::{collection::vec, prelude::*};
use uuid::Uuid;

fn request_header() -> impl Strategy<Value = RequestHeader> {
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
        RequestHeader {
            target: port.map(|port| (caller, port).into()),
            length,
            head,
        }
    })
}

proptest! {
    #[test]
    fn message_decodes_from_chunks_of_any_size(
        header in request_header(),
        body in vec(any::<u8>(), 0..100),
        size in 1_usize..50,
    ) {
        let bytes = encode(&header, &body).unwrap();
        let mut decoder = Decoder::default();
        let mut read = None;
        let mut rest = Vec::new();
        for chunk in bytes.chunks(size) {
            if read.is_some() {
                rest.extend_from_slice(chunk);
            } else {
                read = decoder.push::<RequestHeader>(chunk).unwrap();
            }
        }
        let rest = [&decoder.into_remaining()[..], &rest[..]].concat();
        prop_assert_eq!(read, Some(header));
        prop_assert_eq!(rest, body);
    }

    #[test]
    fn arbitrary_bytes_decode_or_fail(bytes in vec(any::<u8>(), 0..300)) {
        let mut decoder = Decoder::default();
        if let Ok(Some(header)) = decoder.push::<ResponseHeader>(&bytes) {
            let again = encode(&header, &decoder.into_remaining()).unwrap();
            prop_assert!(again.len() <= bytes.len());
        }
    }

    #[test]
    fn corrupted_message_is_never_read_past_its_end(
        header in request_header(),
        at in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut bytes = encode(&header, &[]).unwrap().to_vec();
        let at = at.index(bytes.len());
        bytes[at] = byte;
        let size = bytes.len();
        let mut decoder = Decoder::default();
        if let Ok(Some(read)) = decoder.push::<RequestHeader>(&bytes) {
            prop_assert!(encode(&read, &decoder.into_remaining()).unwrap().len() <= size);
        }
    }
}

#[test]
fn too_long_messages_are_rejected_by_encoder_and_decoder() {
    let reply = Reply {
        status: 200,
        headers: vec![("x".to_owned(), vec![0; MESSAGE_MAX_BYTES])],
        verdict: Verdict::Done,
        reason: Some(Reason::Shed),
        retry_after: None,
    };
    let header = ResponseHeader {
        length: None,
        reply,
    };
    assert_eq!(encode(&header, &[]), Err(Error));
    let prefix = u32::try_from(MESSAGE_MAX_BYTES + 1).unwrap().to_be_bytes();
    let read = Decoder::default().push::<ResponseHeader>(&prefix);
    assert_eq!(read, Err(Error));
}
