//! The program's logger: one line a record on standard error, with the time and the level.

use log::{LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

/// Names the level at which the program logs.
const LEVEL_VARIABLE: &str = "BROOKPASS_LOG";
/// Records of other crates are not logged.
const OWN_TARGET_PREFIX: &str = "brookpass";

/// Starts logging at the level that `BROOKPASS_LOG` names, or `info`. A logger that is already installed stays.
pub fn start() {
    let level = std::env::var(LEVEL_VARIABLE).ok().and_then(|name| name.parse().ok());
    if log::set_logger(&Logger).is_ok() {
        log::set_max_level(level.unwrap_or(LevelFilter::Info));
    }
}

struct Logger;

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= log::max_level() && metadata.target().starts_with(OWN_TARGET_PREFIX)
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        // A record may contain what peers sent: it must not be able to forge a line.
        let text = record.args().to_string().replace(|character: char| character.is_control(), " ");
        let line = format!("{}.{:03} {:5} {text}\n", now.as_secs(), now.subsec_millis(), record.level());
        // A log that nobody reads must not stop the program.
        let _ = std::io::stderr().lock().write_all(line.as_bytes());
    }

    fn flush(&self) {}
}
