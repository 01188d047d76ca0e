//! The snapshot file: written whole beside the old one, then put in its place.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;
use std::sync::mpsc;

/// Writes `text` so that a reader finds the old file or the new one, never a part.
pub fn write(path: &Path, text: &str) -> io::Result<()> {
    let mut beside = path.as_os_str().to_owned();
    beside.push(".new");
    let beside = Path::new(&beside);
    let mut file = File::create(beside)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()?;
    fs::rename(beside, path)?;
    // The name itself must outlast a loss of power.
    let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()
}

/// Starts the thread that writes snapshots: a disk that is slow must not hold up the sockets.
pub fn writer(path: std::path::PathBuf) -> io::Result<mpsc::Sender<String>> {
    let (send, texts) = mpsc::channel::<String>();
    std::thread::Builder::new().name("snapshot".into()).spawn(move || {
        while let Ok(mut text) = texts.recv() {
            while let Ok(newer) = texts.try_recv() {
                text = newer;
            }
            if let Err(e) = write(&path, &text) {
                log::error!("{}: {e}", path.display());
            }
        }
    })?;
    Ok(send)
}
