//! The program under test as a child process, and its log.

use super::*;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

/// A folder of the test's own.
pub fn folder(name: &str) -> PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}-{n}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

/// The program under test.
pub struct Daemon {
    pub child: Child,
    lines: Receiver<String>,
    pub seen: Vec<String>,
}

impl Daemon {
    pub fn start(words: &[&str], variables: &[(&str, &str)]) -> Daemon {
        let mut command = Command::new(env!("CARGO_BIN_EXE_brookpass"));
        command.args(words).env_remove("GW_CONFIG").envs(variables.iter().copied());
        Daemon::run(command)
    }

    pub fn run(mut command: Command) -> Daemon {
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let errors = BufReader::new(child.stderr.take().unwrap());
        let (send, lines) = channel();
        thread::spawn(move || errors.lines().map_while(Result::ok).try_for_each(|l| send.send(l)));
        Daemon { child, lines, seen: Vec::new() }
    }

    /// Waits for a log line that holds `text`.
    pub fn line(&mut self, text: &str) -> String {
        loop {
            match self.lines.recv_timeout(PATIENCE) {
                Ok(line) => {
                    self.seen.push(line.clone());
                    if line.contains(text) {
                        return line;
                    }
                }
                Err(e) => panic!("no line with {text:?} ({e}): {:#?}", self.seen),
            }
        }
    }

    /// The address that a log line names after `words`.
    pub fn address(&mut self, words: &str) -> SocketAddr {
        let line = self.line(words);
        let rest = line.split(words).nth(1).unwrap();
        let end = rest.find(|c: char| !(c.is_ascii_digit() || ".:".contains(c))).unwrap_or(rest.len());
        rest[..end].parse().unwrap()
    }

    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap();
        assert!(sent.success());
    }

    pub fn wait(&mut self) -> ExitStatus {
        let end = Instant::now() + PATIENCE;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < end, "the daemon goes on: {:#?}", self.seen);
            thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
