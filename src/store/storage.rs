//! What a daemon keeps on its disk: its identity, the log, a state, drains that are not agreed yet, and what the
//! others once said. A crash-safe library (`redb`) keeps it; every value has a check sum of its own.

use super::codec;
use super::legacy;
use super::raft_node::{Image, Write};
use super::records::{Hard, LogEntry, SnapshotRecord};
use super::state_machine::DrainMark;
use crate::ids::NodeId;
use redb::backends::InMemoryBackend;
use redb::{Database, Durability, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::fs;
use std::os::unix::fs::MetadataExt;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// The form of what is kept.
const FORM: u32 = 1;
/// Memory that the library may keep of the file.
const CACHE: usize = 1 << 20;

/// Who this daemon is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Drawn at random when the file was made.
    pub id: NodeId,
    /// Starts with this file.
    pub boots: u64,
    /// The file's device and number: those of a copy are others.
    pub place: (u64, u64),
}

/// What a daemon has told of itself once: a disk that knows less is an older one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Witness {
    /// Its starts.
    pub boots: u64,
    /// The term that it was in.
    pub term: u64,
    /// Term and place of the last entry that it said it holds.
    pub last: (u64, u64),
}

impl Witness {
    /// Whether what is said now is from before what was said.
    pub fn outdates(&self, now: &Witness) -> bool {
        now.boots < self.boots || now.term < self.term || now.last < self.last
    }

    /// Takes in what is said now.
    pub fn hear(&mut self, now: &Witness) {
        self.boots = self.boots.max(now.boots);
        self.term = self.term.max(now.term);
        self.last = self.last.max(now.last);
    }
}

/// Drains that are not agreed yet, with their hosts.
pub type Marks = Vec<(String, DrainMark)>;

/// What the disk held at the start.
#[derive(Clone, Debug, Default)]
pub struct Held {
    /// The agreement.
    pub image: Image,
    /// Drains that were not agreed.
    pub marks: Marks,
    /// What the others said.
    pub witnesses: BTreeMap<NodeId, Witness>,
    /// What was learned of the hosts, as the fleet wrote it; soft, so one that is damaged is not there.
    pub learned: Option<Vec<u8>>,
    /// A store of the form before this one, taken over.
    pub legacy: Option<legacy::Legacy>,
    /// What was found and set aside, for the log.
    pub notes: Vec<String>,
}

/// A daemon's disk.
pub struct Disk {
    db: Database,
    path: Option<PathBuf>,
    /// Who this daemon is.
    pub identity: Identity,
    /// Writes since the start, each synced before it counts.
    pub writes: Cell<u64>,
}

fn text(e: impl std::fmt::Display) -> String {
    e.to_string()
}

/// Reads one value; an error where it is there and not whole.
fn value<T: DeserializeOwned>(
    table: &impl ReadableTable<&'static str, &'static [u8]>,
    key: &str,
) -> Result<Option<T>, String> {
    let Some(found) = table.get(key).map_err(text)? else { return Ok(None) };
    codec::read(found.value()).map(Some).ok_or_else(|| format!("{key} is damaged"))
}

fn read(db: &Database) -> Result<Option<(Identity, Held)>, String> {
    let reading = db.begin_read().map_err(text)?;
    let meta = match reading.open_table(META) {
        Ok(table) => table,
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
        Err(e) => return Err(text(e)),
    };
    match value::<u32>(&meta, "form")? {
        Some(FORM) => {}
        Some(other) => return Err(format!("a store of form {other}, not {FORM}")),
        None => return Ok(None),
    }
    let Some(identity) = value::<Identity>(&meta, "identity")? else { return Err("no identity".into()) };
    let mut image = Image {
        hard: value::<Hard>(&meta, "hard")?.unwrap_or_default(),
        snapshot: value::<SnapshotRecord>(&meta, "snapshot")?.unwrap_or_default(),
        dropped: value(&meta, "dropped")?.unwrap_or_default(),
        entries: Vec::new(),
    };
    for row in reading.open_table(LOG).map_err(text)?.iter().map_err(text)? {
        let (index, bytes) = row.map_err(text)?;
        let entry: Option<LogEntry> = codec::read(bytes.value());
        let entry = entry.filter(|e| e.index == index.value());
        image.entries.push(entry.ok_or_else(|| format!("entry {} is damaged", index.value()))?);
    }
    let marks = value(&meta, "marks")?.unwrap_or_default();
    let witnesses = value(&meta, "witnesses")?.unwrap_or_default();
    let learned = value(&meta, "learned").ok().flatten();
    Ok(Some((identity, Held { image, marks, witnesses, learned, ..Held::default() })))
}

/// A file under another name beside it, free to take.
fn aside(path: &Path, why: &str) -> PathBuf {
    let name = |n: usize| {
        let mut name = path.as_os_str().to_owned();
        name.push(if n == 0 { format!(".{why}") } else { format!(".{why}-{n}") });
        PathBuf::from(name)
    };
    (0..).map(name).find(|p| !p.exists()).unwrap_or_default()
}

fn set_aside(path: &Path, why: &str) -> Result<PathBuf, String> {
    let to = aside(path, why);
    fs::rename(path, &to).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(to)
}

fn place(path: &Path) -> Result<(u64, u64), String> {
    let meta = fs::metadata(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok((meta.dev(), meta.ino()))
}

impl Disk {
    /// Opens a daemon's file. One that is damaged, or a copy, is set aside under another name, and the daemon is
    /// a new one; a store of the form before is read once. Errors are what no daemon can start with.
    pub fn open(path: &Path) -> Result<(Disk, Held), String> {
        let fault = |e: String| format!("{}: {e}", path.display());
        let mut notes = Vec::new();
        let mut legacy = None;
        if path.exists() {
            let start = fs::read(path).map_err(|e| fault(text(e)))?;
            if start.starts_with(legacy::FORM.as_bytes()) {
                let old = String::from_utf8(start).map_err(text).and_then(|t| legacy::parse(&t));
                let to = set_aside(path, if old.is_ok() { "old" } else { "damaged" })?;
                notes.push(match &old {
                    Ok(_) => format!(
                        "{}: a store of the old form, taken over; now {}",
                        path.display(),
                        to.display()
                    ),
                    Err(e) => format!("{}: {e}; set aside as {}", path.display(), to.display()),
                });
                legacy = old.ok();
            }
        }
        let opened = catch_unwind(AssertUnwindSafe(|| {
            let db = Database::builder().set_cache_size(CACHE).create(path);
            let db = db.map_err(|e| match e {
                redb::DatabaseError::DatabaseAlreadyOpen => Err("another process has it".to_string()),
                redb::DatabaseError::Storage(redb::StorageError::Io(e))
                    if !matches!(
                        e.kind(),
                        std::io::ErrorKind::InvalidData | std::io::ErrorKind::UnexpectedEof
                    ) =>
                {
                    Err(text(e))
                }
                e => Ok(text(e)),
            })?;
            let held = read(&db).map_err(Ok)?;
            Ok::<_, Result<String, String>>((db, held))
        }));
        let damage = match opened {
            Ok(Ok((db, Some((identity, mut held))))) => {
                if place(path)? == identity.place {
                    held.notes = notes;
                    let mut disk =
                        Disk { db, path: Some(path.to_path_buf()), identity, writes: Cell::new(0) };
                    disk.identity.boots += 1;
                    disk.put("identity", &disk.identity).map_err(fault)?;
                    return Ok((disk, held));
                }
                "it is a copy of another file".to_string()
            }
            Ok(Ok((db, None))) => {
                let mut disk = Disk::fresh(db, Some(path.to_path_buf())).map_err(fault)?;
                disk.identity.place = place(path)?;
                disk.put("identity", &disk.identity).map_err(fault)?;
                return Ok((disk, Held { legacy, notes, ..Held::default() }));
            }
            Ok(Err(Err(fatal))) => return Err(fault(fatal)),
            Ok(Err(Ok(damage))) => damage,
            Err(_) => "it cannot be read".to_string(),
        };
        let to = set_aside(path, "damaged")?;
        let (disk, mut held) = Disk::open(path)?;
        notes.push(format!("{}: {damage}; set aside as {}", path.display(), to.display()));
        held.notes = notes;
        Ok((disk, held))
    }

    /// A disk on anything that stores bytes.
    pub fn on(backend: impl StorageBackend) -> Result<(Disk, Held), String> {
        let db = Database::builder().set_cache_size(CACHE).create_with_backend(backend).map_err(text)?;
        if let Some((identity, held)) = read(&db)? {
            return Ok((Disk { db, path: None, identity, writes: Cell::new(0) }, held));
        }
        Ok((Disk::fresh(db, None)?, Held::default()))
    }

    /// A disk that lasts as long as the process.
    pub fn in_memory() -> Result<(Disk, Held), String> {
        Disk::on(InMemoryBackend::new())
    }

    fn fresh(db: Database, path: Option<PathBuf>) -> Result<Disk, String> {
        let identity = Identity { id: NodeId(fastrand::u64(1..)), boots: 1, place: (0, 0) };
        let mut writing = db.begin_write().map_err(text)?;
        writing.set_durability(Durability::Immediate).map_err(text)?;
        {
            let mut meta = writing.open_table(META).map_err(text)?;
            meta.insert("form", &codec::write(&FORM)[..]).map_err(text)?;
            meta.insert("identity", &codec::write(&identity)[..]).map_err(text)?;
            writing.open_table(LOG).map_err(text)?;
        }
        writing.commit().map_err(text)?;
        Ok(Disk { db, path, identity, writes: Cell::new(1) })
    }

    fn put<T: Serialize>(&self, key: &str, value: &T) -> Result<(), String> {
        self.write(&Write::default(), &[(key, codec::write(value))])
    }

    /// Writes all of this or nothing, and comes back when it is on the disk.
    pub fn write(&self, write: &Write, more: &[(&str, Vec<u8>)]) -> Result<(), String> {
        let mut writing = self.db.begin_write().map_err(text)?;
        writing.set_durability(Durability::Immediate).map_err(text)?;
        {
            let mut meta = writing.open_table(META).map_err(text)?;
            let mut log = writing.open_table(LOG).map_err(text)?;
            if let Some(hard) = &write.hard {
                meta.insert("hard", &codec::write(hard)[..]).map_err(text)?;
            }
            if let Some(snapshot) = &write.snapshot {
                meta.insert("snapshot", &codec::write(snapshot)[..]).map_err(text)?;
            }
            if let Some(dropped) = &write.dropped {
                meta.insert("dropped", &codec::write(dropped)[..]).map_err(text)?;
                log.retain_in(..=dropped.0, |_, _| false).map_err(text)?;
            }
            if let Some(first) = write.entries.first() {
                log.retain_in(first.index.., |_, _| false).map_err(text)?;
            }
            for entry in &write.entries {
                log.insert(entry.index, &codec::write(entry)[..]).map_err(text)?;
            }
            for (key, value) in more {
                meta.insert(*key, &value[..]).map_err(text)?;
            }
        }
        self.writes.set(self.writes.get() + 1);
        writing.commit().map_err(text)
    }

    /// Reads the agreement anew, as after a start.
    pub fn image(&self) -> Result<Image, String> {
        Ok(read(&self.db)?.map(|(_, held)| held.image).unwrap_or_default())
    }

    /// Gives this identity up: the file is set aside, and the disk is that of a new daemon.
    pub fn renounce(self, why: &str) -> Result<Disk, String> {
        let path = self.path.clone();
        drop(self.db);
        let Some(path) = path else { return Ok(Disk::in_memory()?.0) };
        set_aside(&path, why)?;
        Ok(Disk::open(&path)?.0)
    }
}

#[cfg(test)]
mod tests;
