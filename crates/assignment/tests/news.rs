//! What a daemon tells others of the store.

use std::{sync::Arc, time::Duration};

use copperwell_assignment::news::{Board, ListNumber, Listed, News};
use copperwell_routing::{
    configuration::{Configuration, Limits, Part, Route},
    registry::{Registry, Upstream},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
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

fn upstream(number: usize, slots: u32) -> Arc<Upstream> {
    Arc::new(Upstream {
        id: format!("u{number}").into(),
        born: 1,
        service: "cups".into(),
        address: ([127, 0, 0, 1], 9).into(),
        zone: "here".into(),
        slots,
        is_draining: false,
        warmup: Duration::ZERO,
    })
}

/// A daemon that hears the news of another one.
struct Listener {
    registry: Registry,
    list: ListNumber,
}

impl Listener {
    fn new() -> Self {
        Self {
            registry: Registry::default(),
            list: ListNumber::default(),
        }
    }

    /// Hears the news; tells whether it got the whole list.
    fn hear(&mut self, board: &Board) -> Option<bool> {
        let news = board.news(0, self.list).unwrap();
        let now = Instant::now();
        let had = std::mem::replace(&mut self.list, news.list);
        match news.upstreams? {
            Listed::Whole(all) => {
                self.registry.adopt(all, now);
                Some(true)
            }
            Listed::Changed {
                from,
                changed,
                gone,
            } => {
                assert_eq!(from, had);
                self.registry.adopt_changes(changed, gone, now);
                Some(false)
            }
        }
    }

    fn assert_has(&self, list: &[Arc<Upstream>]) {
        let mut all: Vec<_> = self.registry.all().cloned().collect();
        all.sort_by(|one, other| one.id.cmp(&other.id));
        let mut list = list.to_vec();
        list.sort_by(|one, other| one.id.cmp(&other.id));
        assert_eq!(all, list);
    }
}

/// Whoever hears what changed has the same list, whatever it missed in between.
#[test]
fn a_listener_has_the_whole_list() {
    for seed in 0..20 {
        let mut random = SmallRng::seed_from_u64(seed);
        let board = Board::new(3);
        let mut listener = Listener::new();
        let mut list: Vec<Arc<Upstream>> = (0..30).map(|number| upstream(number, 2)).collect();
        board.note_list(list.clone(), Instant::now());
        assert_eq!(listener.hear(&board), Some(true));
        for step in 0..300 {
            let at = random.random_range(0..list.len());
            match random.random_range(0..3) {
                0 => list.push(upstream(100 + step, 2)),
                1 if list.len() > 1 => drop(list.swap_remove(at)),
                _ => list[at] = upstream(at, random.random_range(1..9)),
            }
            list.sort_by(|one, other| one.id.cmp(&other.id));
            list.dedup_by(|one, other| one.id == other.id);
            board.note_list(list.clone(), Instant::now());
            if random.random_bool(0.3) {
                assert_ne!(listener.hear(&board), Some(true));
                listener.assert_has(&list);
            }
        }
        listener.hear(&board);
        listener.assert_has(&list);
        assert_eq!(listener.hear(&board), None);
    }
}

/// Who has the list of another run, or one that is too old, gets all.
#[test]
fn a_listener_that_is_far_behind_gets_all() {
    let board = Board::new(3);
    let mut listener = Listener::new();
    board.note_list([upstream(0, 2)], Instant::now());
    listener.hear(&board);
    for number in 1..3_000 {
        board.note_list([upstream(number, 2)], Instant::now());
    }
    assert_eq!(listener.hear(&board), Some(true));
    listener.assert_has(&[upstream(2_999, 2)]);
    let other = Board::new(4);
    other.note_list([upstream(0, 2)], Instant::now());
    other.note_list([upstream(1, 2)], Instant::now());
    assert_eq!(listener.hear(&other), Some(true));
    listener.assert_has(&[upstream(1, 2)]);
}
