//! A simulated disk in memory with power failures, in which unsynced writes are lost in whole or in part.

use redb::StorageBackend;
use std::io;
use std::ops::Bound;
use std::sync::{Arc, Mutex};

/// Size of a sector. A disk writes each sector completely or not at all.
const SECTOR_BYTES: usize = 512;

#[derive(Debug, Default)]
struct DiskState {
    /// The contents as of the last sync.
    synced: Vec<u8>,
    /// The offsets and data of the writes since the last sync.
    unsynced_writes: Vec<(u64, Vec<u8>)>,
    /// The contents that reads return.
    current: Vec<u8>,
    /// The number of writes until the power fails; `None` if it does not fail.
    writes_until_failure: Option<usize>,
}

/// A handle to the disk. Clones refer to the same disk.
#[derive(Clone, Debug, Default)]
pub struct FaultyDisk(Arc<Mutex<DiskState>>);

fn power_failure() -> io::Error {
    io::Error::other("the power is off")
}

impl FaultyDisk {
    /// Makes the power fail after `writes` further writes.
    pub fn fail_after(&self, writes: usize) {
        self.0.lock().unwrap().writes_until_failure = Some(writes);
    }

    /// The disk after the power failure: the synced contents, with all, a part or none of each later write.
    pub fn after_power_failure(&self, rng: &mut fastrand::Rng) -> FaultyDisk {
        let disk = self.0.lock().unwrap();
        let mut remaining = disk.synced.clone();
        for (offset, data) in &disk.unsynced_writes {
            let written = match rng.u8(..3) {
                0 => 0,
                1 => data.len(),
                _ => rng.usize(..=data.len() / SECTOR_BYTES) * SECTOR_BYTES,
            };
            let offset = *offset as usize;
            remaining[offset..offset + written].copy_from_slice(&data[..written]);
        }
        let state = DiskState { synced: remaining.clone(), current: remaining, ..DiskState::default() };
        FaultyDisk(Arc::new(Mutex::new(state)))
    }
}

impl StorageBackend for FaultyDisk {
    fn len(&self) -> Result<u64, io::Error> {
        Ok(self.0.lock().unwrap().current.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), io::Error> {
        let disk = self.0.lock().unwrap();
        let offset = offset as usize;
        out.copy_from_slice(&disk.current[offset..offset + out.len()]);
        Ok(())
    }

    /// The length is file metadata. In this model a change of it is durable at once.
    fn set_len(&self, len: u64) -> Result<(), io::Error> {
        let mut disk = self.0.lock().unwrap();
        if disk.writes_until_failure == Some(0) {
            return Err(power_failure());
        }
        disk.current.resize(len as usize, 0);
        disk.synced.resize(len as usize, 0);
        Ok(())
    }

    fn sync_data(&self) -> Result<(), io::Error> {
        let mut disk = self.0.lock().unwrap();
        if disk.writes_until_failure == Some(0) {
            return Err(power_failure());
        }
        disk.synced = disk.current.clone();
        disk.unsynced_writes.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), io::Error> {
        let mut disk = self.0.lock().unwrap();
        match &mut disk.writes_until_failure {
            Some(0) => return Err(power_failure()),
            Some(writes) => *writes -= 1,
            None => {}
        }
        let start = offset as usize;
        disk.current[start..start + data.len()].copy_from_slice(data);
        disk.unsynced_writes.push((offset, data.to_vec()));
        Ok(())
    }

    fn try_lock_range(&self, _: Bound<u64>, _: Bound<u64>) -> Result<bool, redb::BackendError> {
        Ok(true)
    }
}
