//! Plays a case of the second review: `stand-2 CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it held, and 2
//! if the case could not run.

mod behind;
mod checked;
mod daemon;
mod downloads;
#[path = "../../stand/src/http.rs"]
#[expect(dead_code, reason = "shared with the stand-ins of the first review")]
mod http;
#[path = "../../stand/src/names.rs"]
mod names;
#[path = "../../stand/src/record.rs"]
mod record;
mod server;
#[path = "../../stand/src/store.rs"]
#[expect(dead_code, reason = "shared with the stand-ins of the first review")]
mod store;

use std::{
    env,
    panic::{catch_unwind, set_hook},
    path::PathBuf,
    process::ExitCode,
};

fn main() -> ExitCode {
    set_hook(Box::new(|info| {
        eprintln!("the case could not run: {info}");
    }));
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("stand-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let folder = PathBuf::from(folder);
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let play = match case.as_str() {
        "checked" => checked::play,
        "behind" => behind::play,
        _ => return ExitCode::from(2),
    };
    match catch_unwind(|| play(&folder, has_trouble)) {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(_) => ExitCode::from(2),
    }
}
