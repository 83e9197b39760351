//! What a daemon tells others of the store.

use std::{sync::Arc, time::Duration};

use copperwell_assignment::news::{Board, ListNumber, News};
use copperwell_routing::configuration::{Configuration, Limits, Part, Route};
use test_case::test_case;
use tokio::time::Instant;

fn configuration(version: u64, routes: usize) -> Arc<Configuration> {
    let limits = Limits {
        head_bytes: 16 << 10,
        body_bytes: 1 << 20,
        head_time: Duration::from_secs(3),
        idle_time: Duration::from_secs(15),
    };
    let route = |number| {
        let part = Part {
            service: "cups".into(),
            weight: 1,
        };
        Route::new(
            format!("r{number}"),
            "a.example",
            format!("/p{number}/"),
            [part],
        )
    };
    Arc::new(Configuration::new(
        version,
        limits,
        [],
        (0..routes).map(route),
    ))
}

/// What a daemon hears that has a configuration.
fn heard(board: &Board, has: u64) -> News {
    let news = board.news(has, ListNumber::default()).unwrap();
    bincode::deserialize(&bincode::serialize(&news).unwrap()).unwrap()
}

#[test_case(4, 10, Some(7); "an older one")]
#[test_case(7, 10, None; "the same")]
#[test_case(4, 400, None; "an older one, where the newer is large")]
fn a_configuration_is_told(has: u64, routes: usize, told: Option<u64>) {
    let board = Board::new(1);
    board.note_list(Vec::new(), Instant::now());
    board.note_configuration(&configuration(7, routes));
    let news = heard(&board, has);
    assert_eq!(news.configuration, 7);
    assert_eq!(news.told.as_ref().map(|told| told.version), told);
    if let Some(told) = news.told {
        assert_eq!(told.route("a.example", "/p3/x").unwrap().name, "r3");
    }
}
