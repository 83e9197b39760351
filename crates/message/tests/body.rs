//! Tests of complete, streamed and incomplete bodies.

use bytes::Bytes;
use copperwell_message::{Body, Incomplete};

#[tokio::test]
async fn streamed_body_is_complete_after_its_end() {
    let (sender, body) = Body::channel();
    let sending = async {
        sender.send("one").await.unwrap();
        sender.send("").await.unwrap();
        sender.send("two").await.unwrap();
        sender.end().await;
    };
    let (content, ()) = tokio::join!(body.collect(100), sending);
    assert_eq!(content, Ok(Bytes::from("onetwo")));
}

#[tokio::test]
async fn body_without_an_end_is_severed() {
    let (sender, mut body) = Body::channel();
    sender.send("half").await.unwrap();
    drop(sender);
    assert_eq!(body.chunk().await, Some(Ok(Bytes::from("half"))));
    assert_eq!(body.chunk().await, Some(Err(Incomplete)));
    assert_eq!(body.chunk().await, None);
}

#[tokio::test]
async fn prefix_is_read_first() {
    let body = Body::full("tail").with_prefix("head-");
    assert_eq!(body.collect(100).await, Ok(Bytes::from("head-tail")));
    let (sender, body) = Body::channel();
    let sending = async {
        sender.send("tail").await.unwrap();
        sender.end().await;
    };
    let (content, ()) = tokio::join!(body.with_prefix("head-").collect(100), sending);
    assert_eq!(content, Ok(Bytes::from("head-tail")));
}

#[tokio::test]
async fn body_beyond_the_limit_is_not_collected() {
    assert_eq!(Body::full("12345").collect(4).await, Err(Incomplete));
    assert_eq!(Body::full("1234").collect(4).await, Ok(Bytes::from("1234")));
}

#[tokio::test]
async fn sender_detects_a_dropped_reader() {
    let (sender, body) = Body::channel();
    drop(body);
    sender.closed().await;
    assert_eq!(sender.send("late").await, Err(Incomplete));
}
