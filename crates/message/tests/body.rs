//! Bodies: whole, streamed, and cut short.

use bytes::Bytes;
use copperwell_message::{Body, Severed};

#[tokio::test]
async fn streamed_body_is_whole_after_its_end() {
    let (to, body) = Body::channel();
    let sent = async {
        to.send("one").await.unwrap();
        to.send("").await.unwrap();
        to.send("two").await.unwrap();
        to.end().await;
    };
    let (whole, ()) = tokio::join!(body.collect(100), sent);
    assert_eq!(whole, Ok(Bytes::from("onetwo")));
}

#[tokio::test]
async fn body_without_an_end_is_severed() {
    let (to, mut body) = Body::channel();
    to.send("half").await.unwrap();
    drop(to);
    assert_eq!(body.chunk().await, Some(Ok(Bytes::from("half"))));
    assert_eq!(body.chunk().await, Some(Err(Severed)));
    assert_eq!(body.chunk().await, None);
}

#[tokio::test]
async fn prefix_comes_first() {
    let body = Body::full("tail").with_prefix("head-");
    assert_eq!(body.collect(100).await, Ok(Bytes::from("head-tail")));
    let (to, body) = Body::channel();
    let sent = async {
        to.send("tail").await.unwrap();
        to.end().await;
    };
    let (whole, ()) = tokio::join!(body.with_prefix("head-").collect(100), sent);
    assert_eq!(whole, Ok(Bytes::from("head-tail")));
}

#[tokio::test]
async fn body_beyond_the_limit_is_not_collected() {
    assert_eq!(Body::full("12345").collect(4).await, Err(Severed));
    assert_eq!(Body::full("1234").collect(4).await, Ok(Bytes::from("1234")));
}

#[tokio::test]
async fn sender_learns_that_the_reader_is_gone() {
    let (to, body) = Body::channel();
    drop(body);
    to.closed().await;
    assert_eq!(to.send("late").await, Err(Severed));
}
