//! The log of a daemon, which a thread of its own writes.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use copperwelld::log;
use spdlog::info;

/// An output that takes its time.
struct Slow(Arc<Mutex<Vec<u8>>>);

impl Write for Slow {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        thread::sleep(Duration::from_millis(20));
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against the loss of the last lines of a daemon that stops, which say what came of its last requests.
#[test]
fn last_line_is_not_written_before_the_exit() {
    let written = Arc::new(Mutex::new(Vec::new()));
    log::install_bounded(Slow(written.clone())).unwrap();
    info!("the last line");
    log::flush();
    let text = String::from_utf8(written.lock().unwrap().clone()).unwrap();
    assert!(text.contains("the last line"), "{text}");
}
