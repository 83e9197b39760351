//! Tests that the decoders of the platform's responses give a value or an error for any text.

use std::fmt::Debug;

use copperwell_log::{
    Batch,
    http::{Append, Appended, Vms},
};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use serde::{Serialize, de::DeserializeOwned};

/// Decodes text; a decoded value must survive another round trip through JSON.
fn round_trip<T: DeserializeOwned + Serialize + PartialEq + Debug>(
    text: &str,
) -> Result<(), TestCaseError> {
    if let Ok(value) = serde_json::from_str::<T>(text) {
        let encoded = serde_json::to_string(&value).expect("JSON");
        let decoded: T = serde_json::from_str(&encoded).expect("the encoded value can be decoded");
        prop_assert_eq!(decoded, value);
    }
    Ok(())
}

#[test]
fn any_text_gives_a_response_or_an_error() {
    let words = [
        "{",
        "}",
        "[",
        "]",
        ":",
        ",",
        "\"first\"",
        "\"next\"",
        "\"records\"",
        "\"offset\"",
        "\"bytes\"",
        "\"vms\"",
        "\"name\"",
        "\"AAAA\"",
        "\"*\"",
        "0",
        "-1",
        "1e99",
        "null",
        "18446744073709551615",
        "18446744073709551616",
        "{\"offset\":1,\"bytes\":\"AQ==\"}",
        "{\"first\":0,\"next\":1,\"records\":",
        "{\"bytes\":\"AQ==\"}",
        "{\"offset\":7}",
    ];
    let joined = vec(proptest::sample::select(words.to_vec()), 0..12);
    let text = joined.prop_map(|list| list.concat());
    let config = Config {
        cases: 4000,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let run = |text: String| {
        round_trip::<Batch>(&text)?;
        round_trip::<Append>(&text)?;
        round_trip::<Appended>(&text)?;
        round_trip::<Vms>(&text)
    };
    TestRunner::new_with_rng(config, rng)
        .run(&text, run)
        .expect("every case passes");
}
