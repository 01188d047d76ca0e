//! Reloads the inventory when its file changes and on SIGHUP.

use crate::config::Limits;
use crate::daemon::Executor;
use crate::daemon::operator_config::{self, OperatorConfig};
use crate::daemon::signals::SignalStream;
use crate::fleet::runtime::Fleet;
use crate::net::until;
use std::path::Path;
use std::rc::Rc;
use std::time::{Instant, SystemTime};

/// File metadata that changes with the content, to detect a new version without reading the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileVersion {
    modified_at: SystemTime,
    length_bytes: u64,
}

impl FileVersion {
    /// `None` if the metadata cannot be read.
    fn of(path: &Path) -> Option<FileVersion> {
        let metadata = std::fs::metadata(path).ok()?;
        Some(FileVersion { modified_at: metadata.modified().ok()?, length_bytes: metadata.len() })
    }
}

/// Spawns a task that reloads the inventory until the process exits. If the file does not parse, the last good
/// inventory stays in use.
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
    // Initially unknown, so that the first check reads the file: it may have changed since startup read it.
    let mut known_version = None;
    loop {
        let next_check = Instant::now() + limits.file_check_interval;
        let reload_requested = until(next_check, hangup.received()).await.is_some();
        let Some(path) = &config.inventory_path else { continue };
        let version = FileVersion::of(path);
        if version == known_version && !reload_requested {
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
