//! The names of the platform's wire, from a data file.

use std::{collections::HashMap, sync::OnceLock};

/// Returns the name on the wire.
pub fn n(name: &str) -> &'static str {
    static NAMES: OnceLock<HashMap<&'static str, &'static str>> = OnceLock::new();
    let names = NAMES.get_or_init(|| {
        let lines = include_str!("../data/names.txt").lines();
        lines.filter_map(|line| line.split_once(' ')).collect()
    });
    names
        .get(name)
        .copied()
        .unwrap_or_else(|| panic!("no name {name}"))
}

/// Fills a template from pairs of names and values.
pub fn fill(template: &str, values: &[(&str, &str)]) -> String {
    let mut text = template.trim_end().to_owned();
    for (name, value) in values {
        text = text.replace(&format!("{{{name}}}"), value);
    }
    text
}
