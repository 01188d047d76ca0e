//! The program's logger: writes each record as one line on standard error, with the time and the level.

use log::{LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

/// Environment variable with the maximum log level.
const LEVEL_VARIABLE: &str = "BROOKPASS_LOG";
/// Only records whose target starts with this are logged, so those of other crates are not.
const OWN_TARGET_PREFIX: &str = "brookpass";

/// Installs the logger with the level in `BROOKPASS_LOG`, or `info` if it is unset or invalid. A logger that is already
/// installed stays.
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
        // A record may contain text from peers, which must not be able to forge a log line.
        let text = record.args().to_string().replace(|character: char| character.is_control(), " ");
        let line = format!("{}.{:03} {:5} {text}\n", now.as_secs(), now.subsec_millis(), record.level());
        // The program must keep running when standard error cannot be written.
        let _ = std::io::stderr().lock().write_all(line.as_bytes());
    }

    fn flush(&self) {}
}
