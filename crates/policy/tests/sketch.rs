//! Compares the sketch of frequent keys with exact counts.

use std::collections::HashMap;

use copperwell_policy::sketch::Sketch;
use proptest::{collection::vec, prelude::*};

proptest! {
    #[test]
    fn counts_are_bounded_and_frequent_keys_are_kept(
        keys in vec((0..40u32, 0..40u32), 1..2000),
        capacity in 1..30usize,
    ) {
        let mut sketch = Sketch::new(capacity);
        let mut exact: HashMap<String, u64> = HashMap::new();
        for (a, b) in keys {
            // The product makes low numbers frequent.
            let key = (a * b / 40).to_string();
            sketch.add(&key);
            *exact.entry(key).or_default() += 1;
        }
        let kept = sketch.top(usize::MAX);
        prop_assert!(kept.len() <= capacity);
        for hot in &kept {
            let count = exact[&*hot.key];
            prop_assert!(hot.count >= count);
            prop_assert!(hot.count - hot.error <= count);
        }
        for (key, count) in exact {
            if count > sketch.total() / capacity as u64 {
                prop_assert!(kept.iter().any(|hot| *hot.key == *key), "{key}");
            }
        }
    }
}

#[test]
fn keys_that_are_no_longer_requested_decay() {
    let mut sketch = Sketch::new(4);
    for _ in 0..64 {
        sketch.add("old");
    }
    for _ in 0..5 {
        sketch.decay();
        sketch.add("new");
        sketch.add("new");
    }
    assert_eq!(&*sketch.top(1)[0].key, "new");
}
