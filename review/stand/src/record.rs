//! The record of a case: what was sent, answered and run.

use std::{fs::File, io::Write, path::Path, sync::Mutex, time::Instant};

pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        Self {
            started_at: Instant::now(),
            file: Mutex::new(File::create(path).unwrap()),
        }
    }

    pub fn say(&self, text: &str) {
        let at = self.started_at.elapsed().as_secs_f64();
        let line = format!("{at:8.3} s  {text}\n");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
        let _ = std::io::stdout().write_all(line.as_bytes());
    }
}
