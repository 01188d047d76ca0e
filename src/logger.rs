//! The program's logger: writes each record as one line on standard error, with the time and the level. Warnings that
//! repeat faster than `throttle` permits are counted instead.

mod throttle;

use log::{Level, LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::sync::{Mutex, PoisonError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use throttle::{CallSite, Verdict, WarningThrottle};

/// Environment variable with the maximum log level.
const LEVEL_VARIABLE: &str = "BROOKPASS_LOG";
/// Only records whose target starts with this are logged, so those of other crates are not.
const OWN_TARGET_PREFIX: &str = "brookpass";

/// Installs the logger with the level in `BROOKPASS_LOG`, or `info` if it is unset or invalid. A logger that is already
/// installed stays.
pub fn start() {
    let level = std::env::var(LEVEL_VARIABLE).ok().and_then(|name| name.parse().ok());
    if log::set_logger(&LOGGER).is_ok() {
        log::set_max_level(level.unwrap_or(LevelFilter::Info));
    }
}

static LOGGER: Logger = Logger { throttle: Mutex::new(WarningThrottle::new()) };

struct Logger {
    throttle: Mutex<WarningThrottle>,
}

impl Logger {
    fn verdict(&self, record: &Record) -> Verdict {
        let (Level::Warn, Some(file), Some(line)) = (record.level(), record.file_static(), record.line())
        else {
            return Verdict::Log { suppressed_before: 0 };
        };
        let mut throttle = self.throttle.lock().unwrap_or_else(PoisonError::into_inner);
        throttle.check(CallSite { file, line }, Instant::now())
    }
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= log::max_level() && metadata.target().starts_with(OWN_TARGET_PREFIX)
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let suppressed = match self.verdict(record) {
            Verdict::Suppress => return,
            Verdict::Log { suppressed_before: 0 } => String::new(),
            Verdict::Log { suppressed_before } => format!(" ({suppressed_before} similar lines suppressed)"),
        };
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        // A record may contain text from peers, which must not be able to forge a log line.
        let text = record.args().to_string().replace(|character: char| character.is_control(), " ");
        let line =
            format!("{}.{:03} {:5} {text}{suppressed}\n", now.as_secs(), now.subsec_millis(), record.level());
        // The program must keep running when standard error cannot be written.
        let _ = std::io::stderr().lock().write_all(line.as_bytes());
    }

    fn flush(&self) {}
}
