//! Storage after power failures, and store files that are damaged, copied or of version 0.2.0.

mod faulty_disk;

use super::*;
use crate::ids::FleetId;
use crate::store::records::EntryId;
use crate::store::state_machine::ClusterState;
use faulty_disk::FaultyDisk;
use std::fs;

fn entry(index: u64, term: u64, size: usize) -> LogEntry {
    LogEntry { index, term, kind: LogEntry::CHANGE, payload: vec![index as u8; size] }
}

fn founded_state() -> RaftPersistentState {
    let state = ClusterState { fleet: FleetId(7), ..ClusterState::default() };
    RaftPersistentState::found_fleet(&state, NodeId(1))
}

/// A random write of one of the kinds that the Raft node produces.
fn random_write(rng: &mut fastrand::Rng, current: &RaftPersistentState) -> RaftWrite {
    let (last_index, term) = (current.last_entry().index, current.hard_state.term);
    match rng.u8(..10) {
        0 => {
            let hard_state = HardState { term: term + 1, vote: NodeId(2), ..current.hard_state };
            RaftWrite { hard_state: Some(hard_state), ..RaftWrite::default() }
        }
        1 if last_index > current.compacted.index + 4 => {
            let compacted = EntryId { term, index: current.compacted.index + 2 };
            let snapshot = SnapshotRecord { index: compacted.index + 1, ..current.snapshot.clone() };
            RaftWrite { snapshot: Some(snapshot), compacted: Some(compacted), ..RaftWrite::default() }
        }
        kind => {
            // Sometimes an uncommitted entry is replaced.
            let replaced = if kind == 2 && last_index > current.compacted.index + 2 { 1 } else { 0 };
            let from = last_index + 1 - replaced;
            let entries = (from..from + rng.u64(1..4)).map(|index| entry(index, term, rng.usize(..3000)));
            RaftWrite { entries: entries.collect(), ..RaftWrite::default() }
        }
    }
}

/// Simulates a power failure at each disk write of random sequences of store writes. Guards against losing synced data
/// and against keeping only part of a store write. The environment variable `POWER_SEEDS` sets the number of
/// sequences.
#[test]
fn a_power_failure_at_any_write_loses_no_synced_data() {
    let (mut failure_points, mut kept_failed_writes) = (0, 0);
    let seeds = std::env::var("POWER_SEEDS").ok().and_then(|count| count.parse().ok()).unwrap_or(4);
    for seed in 0..seeds {
        let mut writes_until_failure = 0;
        loop {
            // Repeats the same store writes; each time, one more disk write succeeds before the power failure.
            let mut rng = fastrand::Rng::with_seed(seed);
            let disk = FaultyDisk::default();
            let storage = DurableStorage::on_backend(disk.clone()).unwrap().storage;
            let mut synced = founded_state();
            storage.write(&synced.full_write(), &[]).unwrap();
            disk.fail_after(writes_until_failure);
            let mut failed_write = None;
            for _ in 0..12 {
                let write = random_write(&mut rng, &synced);
                if storage.write(&write, &[NodeValue::PendingDrains(&[])]).is_err() {
                    failed_write = Some(write);
                    break;
                }
                synced.apply_write(&write);
            }
            let all_writes_succeeded = failed_write.is_none();
            drop(storage);
            let disk = disk.after_power_failure(&mut rng);
            let OpenedStorage { storage, contents } = DurableStorage::on_backend(disk).unwrap();
            let mut with_failed_write = synced.clone();
            with_failed_write.apply_write(&failed_write.unwrap_or_default());
            assert!(
                contents.raft == synced || contents.raft == with_failed_write,
                "seed {seed}, after {writes_until_failure} writes"
            );
            kept_failed_writes += usize::from(contents.raft != synced);
            assert_eq!(storage.read_raft_state().unwrap(), contents.raft);
            failure_points += 1;
            writes_until_failure += 1;
            if all_writes_succeeded {
                break;
            }
        }
    }
    println!("{failure_points} failure points");
    assert!(
        failure_points > 150,
        "{failure_points} failure points, {kept_failed_writes} of them kept a write that had failed"
    );
}

/// Creates an empty folder for the store files of a test.
fn new_temp_folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("brookpass-disk-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).unwrap();
    path
}

/// Guards against voting twice under one identity, with a copied store file or with one that was restored from an older
/// copy.
#[test]
fn a_copied_file_starts_a_new_node_and_the_original_file_keeps_its_identity() {
    let folder = new_temp_folder("copy");
    let path = folder.join("b1.store");
    let id = {
        let storage = DurableStorage::open(&path).unwrap().storage;
        storage.write(&founded_state().full_write(), &[]).unwrap();
        let error = DurableStorage::open(&path).err().unwrap();
        assert!(error.to_string().contains("in use by another process"));
        storage.identity.id
    };
    let OpenedStorage { storage, contents } = DurableStorage::open(&path).unwrap();
    assert_eq!((storage.identity.id, storage.identity.boot_count, contents.raft), (id, 2, founded_state()));
    drop(storage);
    let copy = folder.join("copy.store");
    fs::copy(&path, &copy).unwrap();
    let OpenedStorage { storage, contents } = DurableStorage::open(&copy).unwrap();
    assert_ne!(storage.identity.id, id);
    assert!(contents.raft.is_new() && contents.warnings[0].contains("a copy"), "{:?}", contents.warnings);
    assert!(folder.join("copy.store.damaged").exists(), "the copy is renamed, not deleted");
    let storage = storage.reset_identity(IdentityResetReason::OutdatedStorage).unwrap();
    assert!(folder.join("copy.store.older").exists() && storage.read_raft_state().unwrap().is_new());
    let _ = fs::remove_dir_all(folder);
}

/// Guards against a truncated or corrupted file whose contents are used, or that keeps the node from starting.
#[test]
fn a_damaged_file_is_renamed_and_the_node_starts() {
    let folder = new_temp_folder("damage");
    let path = folder.join("b1.store");
    let create = || {
        let _ = fs::remove_file(&path);
        let storage = DurableStorage::open(&path).unwrap().storage;
        let entries = (2..40).map(|index| entry(index, 1, 500)).collect();
        storage.write(&RaftWrite { entries, ..founded_state().full_write() }, &[]).unwrap();
        storage.read_raft_state().unwrap()
    };
    let expected = create();
    let length = fs::metadata(&path).unwrap().len();
    let mut rng = fastrand::Rng::with_seed(3);
    let (mut detected, mut harmless) = (0, 0);
    for round in 0..60 {
        if round > 0 {
            create();
        }
        let mut bytes = fs::read(&path).unwrap();
        if round % 3 == 0 {
            bytes.truncate(rng.u64(1..length) as usize);
        } else {
            let used: Vec<usize> = (0..bytes.len()).filter(|position| bytes[*position] != 0).collect();
            bytes[used[rng.usize(..used.len())]] ^= 1 << rng.u8(..8);
        }
        // Overwriting keeps the inode, so the file does not count as a copy.
        fs::write(&path, &bytes).unwrap();
        let contents =
            DurableStorage::open(&path).unwrap_or_else(|error| panic!("round {round}: {error}")).contents;
        if contents.warnings.is_empty() {
            // The byte is unused, or belongs to an outdated copy of a page.
            assert_eq!(contents.raft, expected, "round {round}: damaged data was used");
            harmless += 1;
        } else {
            let warning = &contents.warnings[0];
            assert!(contents.raft.is_new() && warning.contains("set aside"), "{:?}", contents.warnings);
            detected += 1;
        }
    }
    assert!(detected > 25, "{detected} detected, {harmless} harmless");
    let _ = fs::remove_dir_all(folder);
}

#[test]
fn a_store_file_of_version_0_2_0_is_imported_once() {
    let folder = new_temp_folder("old");
    let path = folder.join("b1.store");
    fs::write(&path, "brookpass-store 1\n5\ta.1\tdrain/s-1\t+1\nend\n").unwrap();
    let OpenedStorage { storage, contents } = DurableStorage::open(&path).unwrap();
    assert_eq!(contents.legacy.unwrap().drains, ["s-1"]);
    drop(storage);
    let contents = DurableStorage::open(&path).unwrap().contents;
    assert!(contents.legacy.is_none() && folder.join("b1.store.old").exists());
    fs::remove_file(&path).unwrap();
    fs::write(&path, "brookpass-store 1\n5\ta.1\tdrain/s-1\t+1\n").unwrap();
    let contents = DurableStorage::open(&path).unwrap().contents;
    assert!(contents.legacy.is_none() && contents.warnings[0].contains("line 3"), "{:?}", contents.warnings);
    let _ = fs::remove_dir_all(folder);
}
