//! The disk under power loss and damage, on a store of bytes that forgets what was not synced.

use super::*;
use crate::ids::FleetId;
use crate::store::records::EntryId;
use crate::store::state_machine::ClusterState;
use std::fs;

use std::ops::Bound;
use std::sync::{Arc, Mutex};

/// Bytes as a disk keeps them: what was synced, and writes since then, any of which may be lost or torn.
#[derive(Debug, Default)]
struct Platter {
    synced: Vec<u8>,
    open: Vec<(u64, Vec<u8>)>,
    now: Vec<u8>,
    /// Writes that are still let through; the power fails after them.
    left: Option<usize>,
}

#[derive(Clone, Debug, Default)]
struct Power(Arc<Mutex<Platter>>);

fn off() -> std::io::Error {
    std::io::Error::other("the power is off")
}

impl StorageBackend for Power {
    fn len(&self) -> Result<u64, std::io::Error> {
        Ok(self.0.lock().unwrap().now.len() as u64)
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), std::io::Error> {
        let p = self.0.lock().unwrap();
        out.copy_from_slice(&p.now[offset as usize..offset as usize + out.len()]);
        Ok(())
    }
    fn set_len(&self, len: u64) -> Result<(), std::io::Error> {
        let mut p = self.0.lock().unwrap();
        if p.left == Some(0) {
            return Err(off());
        }
        // The length of a file is kept with it: a cut takes effect at once.
        p.now.resize(len as usize, 0);
        p.synced.resize(len as usize, 0);
        Ok(())
    }
    fn sync_data(&self) -> Result<(), std::io::Error> {
        let mut p = self.0.lock().unwrap();
        if p.left == Some(0) {
            return Err(off());
        }
        p.synced = p.now.clone();
        p.open.clear();
        Ok(())
    }
    fn write(&self, offset: u64, data: &[u8]) -> Result<(), std::io::Error> {
        let mut p = self.0.lock().unwrap();
        match &mut p.left {
            Some(0) => return Err(off()),
            Some(left) => *left -= 1,
            None => {}
        }
        p.now[offset as usize..offset as usize + data.len()].copy_from_slice(data);
        p.open.push((offset, data.to_vec()));
        Ok(())
    }
    fn try_lock_range(&self, _: Bound<u64>, _: Bound<u64>) -> Result<bool, redb::BackendError> {
        Ok(true)
    }
}

impl Power {
    /// What is left after the power failed: what was synced, and of each write since then all, a part or nothing.
    fn lose(&self, rng: &mut fastrand::Rng) -> Power {
        let p = self.0.lock().unwrap();
        let mut left = p.synced.clone();
        for (offset, data) in &p.open {
            let part = match rng.u8(..3) {
                0 => 0,
                1 => data.len(),
                // Sectors of 512 bytes are written whole or not at all.
                _ => rng.usize(..=data.len() / 512) * 512,
            };
            left[*offset as usize..*offset as usize + part].copy_from_slice(&data[..part]);
        }
        Power(Arc::new(Mutex::new(Platter { synced: left.clone(), now: left, ..Platter::default() })))
    }
}

fn entry(index: u64, term: u64, size: usize) -> LogEntry {
    LogEntry { index, term, kind: 0, payload: vec![index as u8; size] }
}

fn founded() -> RaftPersistentState {
    RaftPersistentState::found_fleet(
        &ClusterState { fleet: FleetId(7), ..ClusterState::default() },
        NodeId(1),
    )
}

/// One write of a random kind, as the agreement makes them.
fn any_write(rng: &mut fastrand::Rng, image: &RaftPersistentState) -> RaftWrite {
    let (last, term) = (image.last_entry().index, image.hard_state.term);
    match rng.u8(..10) {
        0 => RaftWrite {
            hard_state: Some(HardState { term: term + 1, vote: NodeId(2), ..image.hard_state }),
            ..RaftWrite::default()
        },
        1 if last > image.compacted.index + 4 => {
            let dropped = EntryId { term, index: image.compacted.index + 2 };
            let snapshot = SnapshotRecord { index: dropped.index + 1, ..image.snapshot.clone() };
            RaftWrite { snapshot: Some(snapshot), compacted: Some(dropped), ..RaftWrite::default() }
        }
        n => {
            // Now and then entries that were never agreed are replaced.
            let back = if n == 2 && last > image.compacted.index + 2 { 1 } else { 0 };
            let from = last + 1 - back;
            let entries = (from..from + rng.u64(1..4)).map(|i| entry(i, term, rng.usize(..3000)));
            RaftWrite { entries: entries.collect(), ..RaftWrite::default() }
        }
    }
}

/// At every point of many writes the power fails: what was said to be on the disk is there, whole. `POWER_SEEDS=N`
/// plays more.
#[test]
fn power_that_fails_at_any_write_loses_nothing_that_was_synced() {
    let (mut points, mut kept_more) = (0, 0);
    let seeds = std::env::var("POWER_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(4);
    for seed in 0..seeds {
        let mut left = 0;
        loop {
            // The same writes again, each time with power for one write of bytes more.
            let mut rng = fastrand::Rng::with_seed(seed);
            let power = Power::default();
            let OpenedStorage { storage: disk, .. } = DurableStorage::on_backend(power.clone()).unwrap();
            let mut image = founded();
            disk.write(&image.full_write(), &[]).unwrap();
            power.0.lock().unwrap().left = Some(left);
            let mut lost = None;
            for _ in 0..12 {
                let write = any_write(&mut rng, &image);
                if disk.write(&write, &[NodeValue::PendingDrains(&[])]).is_err() {
                    lost = Some(write);
                    break;
                }
                image.apply_write(&write);
            }
            let ended = lost.is_none();
            drop(disk);
            let OpenedStorage { storage: disk, contents: held } =
                DurableStorage::on_backend(power.lose(&mut rng)).unwrap();
            let mut next = image.clone();
            next.apply_write(&lost.unwrap_or_default());
            assert!(held.raft == image || held.raft == next, "seed {seed}, after {left} writes");
            kept_more += usize::from(held.raft != image);
            assert_eq!(disk.read_raft_state().unwrap(), held.raft);
            points += 1;
            left += 1;
            if ended {
                break;
            }
        }
    }
    println!("{points} points");
    assert!(points > 150, "{points} points, {kept_more} of them kept what was not yet said to be there");
}

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("brookpass-disk-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).unwrap();
    path
}

/// Guards against an identity that votes twice: a file that was copied, or put back from an older copy.
#[test]
fn a_copy_is_a_new_daemon_and_the_same_file_is_the_same_one() {
    let folder = folder("copy");
    let path = folder.join("b1.store");
    let id = {
        let OpenedStorage { storage: disk, .. } = DurableStorage::open(&path).unwrap();
        disk.write(&founded().full_write(), &[]).unwrap();
        assert!(DurableStorage::open(&path).err().unwrap().to_string().contains("another process has it"));
        disk.identity.id
    };
    let OpenedStorage { storage: disk, contents: held } = DurableStorage::open(&path).unwrap();
    assert_eq!((disk.identity.id, disk.identity.boot_count, held.raft), (id, 2, founded()));
    drop(disk);
    let copy = folder.join("copy.store");
    fs::copy(&path, &copy).unwrap();
    let OpenedStorage { storage: disk, contents: held } = DurableStorage::open(&copy).unwrap();
    assert_ne!(disk.identity.id, id);
    assert!(held.raft.is_new() && held.notes[0].contains("a copy"), "{:?}", held.notes);
    assert!(folder.join("copy.store.damaged").exists(), "nothing is thrown away");
    let disk = disk.reset_identity(IdentityResetReason::OutdatedStorage).unwrap();
    assert!(folder.join("copy.store.older").exists() && disk.read_raft_state().unwrap().is_new());
    let _ = fs::remove_dir_all(folder);
}

/// Guards against a file that was cut short or changed and keeps the daemon down, or is believed.
#[test]
fn a_damaged_file_is_set_aside_and_the_daemon_starts() {
    let folder = folder("damage");
    let path = folder.join("b1.store");
    let make = || {
        let _ = fs::remove_file(&path);
        let OpenedStorage { storage: disk, .. } = DurableStorage::open(&path).unwrap();
        let entries = (2..40).map(|i| entry(i, 1, 500)).collect();
        disk.write(&RaftWrite { entries, ..founded().full_write() }, &[]).unwrap();
        disk.read_raft_state().unwrap()
    };
    let wanted = make();
    let length = fs::metadata(&path).unwrap().len();
    let mut rng = fastrand::Rng::with_seed(3);
    let (mut seen, mut harmless) = (0, 0);
    for round in 0..60 {
        if round > 0 {
            make();
        }
        let mut bytes = fs::read(&path).unwrap();
        if round % 3 == 0 {
            bytes.truncate(rng.u64(1..length) as usize);
        } else {
            let at = bytes.iter().enumerate().filter(|(_, b)| **b != 0).map(|(n, _)| n).collect::<Vec<_>>();
            bytes[at[rng.usize(..at.len())]] ^= 1 << rng.u8(..8);
        }
        // Written over, not replaced: it is the same file.
        fs::write(&path, &bytes).unwrap();
        let OpenedStorage { contents: held, .. } =
            DurableStorage::open(&path).unwrap_or_else(|e| panic!("round {round}: {e}"));
        if held.notes.is_empty() {
            // A byte that nobody uses was hit, or one of an older copy of a page.
            assert_eq!(held.raft, wanted, "round {round}: damage was believed");
            harmless += 1;
        } else {
            assert!(held.raft.is_new() && held.notes[0].contains("set aside"), "{:?}", held.notes);
            seen += 1;
        }
    }
    assert!(seen > 25, "{seen} seen, {harmless} harmless");
    let _ = fs::remove_dir_all(folder);
}

#[test]
fn a_store_of_the_old_form_is_taken_over_once() {
    let folder = folder("old");
    let path = folder.join("b1.store");
    fs::write(&path, "brookpass-store 1\n5\ta.1\tdrain/s-1\t+1\nend\n").unwrap();
    let OpenedStorage { storage: disk, contents: held } = DurableStorage::open(&path).unwrap();
    assert_eq!(held.legacy.unwrap().drains, ["s-1"]);
    drop(disk);
    let OpenedStorage { contents: held, .. } = DurableStorage::open(&path).unwrap();
    assert!(held.legacy.is_none() && folder.join("b1.store.old").exists());
    fs::remove_file(&path).unwrap();
    fs::write(&path, "brookpass-store 1\n5\ta.1\tdrain/s-1\t+1\n").unwrap();
    let OpenedStorage { contents: held, .. } = DurableStorage::open(&path).unwrap();
    assert!(held.legacy.is_none() && held.notes[0].contains("line 3"), "{:?}", held.notes);
    let _ = fs::remove_dir_all(folder);
}
