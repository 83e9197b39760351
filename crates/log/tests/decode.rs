//! Decoders of the platform's answers: any bytes give a value or an error.

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

/// Reads text; what is read must be written and read again as the same.
fn read<T: DeserializeOwned + Serialize + PartialEq + Debug>(
    text: &str,
) -> Result<(), TestCaseError> {
    if let Ok(value) = serde_json::from_str::<T>(text) {
        let again = serde_json::to_string(&value).expect("JSON");
        let again: T = serde_json::from_str(&again).expect("the same");
        prop_assert_eq!(again, value);
    }
    Ok(())
}

#[test]
fn any_text_is_an_answer_or_an_error() {
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
        read::<Batch>(&text)?;
        read::<Append>(&text)?;
        read::<Appended>(&text)?;
        read::<Vms>(&text)
    };
    TestRunner::new_with_rng(config, rng)
        .run(&text, run)
        .expect("no case fails");
}
