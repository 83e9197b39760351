//! The bound on bytes with which an answer does not get on.

use copperwell_progress::{Allowance, Reader, UNTIL_HEAD_MAX_BYTES};
use tokio::io::{AsyncReadExt, repeat};

fn reader(allowance: &Allowance) -> Reader<tokio::io::Repeat> {
    Reader::new(repeat(b'0'), allowance.clone())
}

#[tokio::test]
async fn peer_sends_more_than_its_allowance() {
    let allowance = Allowance::default();
    let mut reader = reader(&allowance);
    let mut whole = vec![0; UNTIL_HEAD_MAX_BYTES];
    reader.read_exact(&mut whole).await.unwrap();
    assert!(!allowance.is_used_up());
    assert!(reader.read_u8().await.is_err());
    assert!(allowance.is_used_up());
}

#[tokio::test]
async fn peer_whose_answer_gets_on_is_stopped() {
    let allowance = Allowance::default();
    let mut reader = reader(&allowance);
    let mut part = vec![0; UNTIL_HEAD_MAX_BYTES];
    for _ in 0..8 {
        reader.read_exact(&mut part).await.unwrap();
        allowance.renew();
    }
}

#[tokio::test]
async fn connection_that_failed_goes_on() {
    let allowance = Allowance::default();
    let mut reader = reader(&allowance);
    let mut more = vec![0; UNTIL_HEAD_MAX_BYTES + 1];
    assert!(reader.read_exact(&mut more).await.is_err());
    allowance.renew();
    assert!(reader.read_u8().await.is_err());
}
