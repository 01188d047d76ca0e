//! Reads the inventory again when its file changes, and on SIGHUP.

use crate::config::Limits;
use crate::daemon::Executor;
use crate::daemon::operator_config::{self, OperatorConfig};
use crate::daemon::signals::SignalStream;
use crate::fleet::runtime::Fleet;
use crate::net::until;
use std::path::Path;
use std::rc::Rc;
use std::time::{Instant, SystemTime};

/// What tells versions of a file apart without reading it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileVersion {
    modified_at: SystemTime,
    length_bytes: u64,
}

impl FileVersion {
    fn of(path: &Path) -> Option<FileVersion> {
        let metadata = std::fs::metadata(path).ok()?;
        Some(FileVersion { modified_at: metadata.modified().ok()?, length_bytes: metadata.len() })
    }
}

/// Follows the inventory until the process ends. A file that does not parse changes nothing: the last good inventory
/// stays.
pub fn spawn(
    executor: &Executor,
    hangup: SignalStream,
    config: &Rc<OperatorConfig>,
    fleet: &Rc<Fleet>,
    limits: &Rc<Limits>,
) {
    let config = config.clone();
    let fleet = fleet.clone();
    let limits = limits.clone();
    executor.spawn(async move { follow_file(hangup, &config, &fleet, &limits).await }).detach();
}

async fn follow_file(mut hangup: SignalStream, config: &OperatorConfig, fleet: &Fleet, limits: &Limits) {
    // Unknown at first: the file may have changed since it was read at the start, so that it is read once more.
    let mut known_version = None;
    loop {
        let next_check = Instant::now() + limits.file_check_interval;
        let is_requested = until(next_check, hangup.received()).await.is_some();
        let Some(path) = &config.inventory else { continue };
        let version = FileVersion::of(path);
        if version == known_version && !is_requested {
            continue;
        }
        known_version = version;
        match operator_config::load_inventory(path, &config.zones, limits) {
            Ok(read) => {
                fleet.update_own_files(|files| files.inventory = Some((read.inventory, read.modified_at)))
            }
            Err(error) => log::error!("{error}; the last good inventory stays"),
        }
    }
}
