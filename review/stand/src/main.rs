//! Plays a case of the review: `stand CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run.

mod again;
mod daemon;
mod http;
mod names;
mod pipelined;
mod record;
mod relayed;
mod store;
mod upstream;
mod world;

use std::{path::PathBuf, process::ExitCode};

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|info| {
        eprintln!("the case could not run: {info}");
    }));
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("stand CASE FOLDER");
        return ExitCode::from(2);
    };
    let folder = PathBuf::from(folder);
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let play = match case.as_str() {
        "relayed" => relayed::play,
        "again" => again::play,
        "pipelined" => pipelined::play,
        _ => return ExitCode::from(2),
    };
    let played = std::panic::catch_unwind(|| play(&folder, has_trouble));
    match played {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(_) => ExitCode::from(2),
    }
}
