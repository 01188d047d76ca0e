//! The program's logger: one line a record on standard error, with the time and the level.

use log::{LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

struct Logger;

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= log::max_level() && metadata.target().starts_with("brookpass")
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        // What peers sent may stand in a line: it must not be able to forge another one.
        let text = record.args().to_string().replace(|c: char| c.is_control(), " ");
        let line = format!("{}.{:03} {:5} {text}\n", now.as_secs(), now.subsec_millis(), record.level());
        // A log that nobody reads must not stop the program.
        let _ = std::io::stderr().lock().write_all(line.as_bytes());
    }

    fn flush(&self) {}
}

/// Starts logging at the level named by `BROOKPASS_LOG`, or `info`.
pub fn start() {
    let level = std::env::var("BROOKPASS_LOG").ok().and_then(|l| l.parse().ok());
    if log::set_logger(&Logger).is_ok() {
        log::set_max_level(level.unwrap_or(LevelFilter::Info));
    }
}
