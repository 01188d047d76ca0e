//! A process of the program, with its log.

use crate::{PATIENCE, eventually};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;

/// A running process.
pub struct Process {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts the program with these words; `clock`: how far its clock is off, in milliseconds.
    pub fn start(program: &Path, words: &[&str], clock: i64) -> Process {
        let mut command = Command::new(program);
        command.args(words).env_remove("GW_CONFIG").env("BROOKPASS_LOG", "debug");
        if clock != 0 {
            command.env("BROOKPASS_CLOCK_OFFSET_MS", clock.to_string());
        }
        let mut child =
            command.stderr(Stdio::piped()).stdout(Stdio::null()).spawn().expect("the program starts");
        let errors = BufReader::new(child.stderr.take().expect("its log"));
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        let sink = lines.clone();
        thread::spawn(move || {
            errors.lines().map_while(Result::ok).for_each(|l| sink.lock().expect("a log's lock").push(l));
        });
        Process { child, lines }
    }

    /// Its log up to now.
    pub fn log(&self) -> Vec<String> {
        self.lines.lock().expect("a log's lock").clone()
    }

    /// Waits for a line with these words.
    pub fn wait_for_line(&self, words: &str) -> String {
        let mut found = None;
        let began = std::time::Instant::now();
        while found.is_none() {
            found = self.lines.lock().expect("a log's lock").iter().find(|l| l.contains(words)).cloned();
            assert!(began.elapsed() < PATIENCE, "no line with {words:?}: {:#?}", self.log());
            thread::sleep(std::time::Duration::from_millis(2));
        }
        found.unwrap_or_default()
    }

    /// The address that a line names after these words.
    pub fn wait_for_address(&self, words: &str) -> SocketAddr {
        let line = self.wait_for_line(words);
        let rest = line.split(words).nth(1).unwrap_or("");
        let end = rest.find(|c: char| !(c.is_ascii_digit() || ".:".contains(c))).unwrap_or(rest.len());
        rest[..end].parse().expect("an address in the log")
    }

    /// Sends it a signal by the name that `kill` knows.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(sent.is_ok_and(|s| s.success()), "kill {name}");
    }

    /// Kills it, as the power would.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for its end.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        eventually("the process ends", || {
            status = self.child.try_wait().ok().flatten();
            status.is_some()
        });
        status.unwrap_or_default()
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|s| s.is_none())
    }

    /// Bytes that it has handed to the disk.
    pub fn written(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/io", self.child.id())).unwrap_or_default();
        text.lines().find_map(|l| l.strip_prefix("write_bytes: ")?.trim().parse().ok()).unwrap_or(0)
    }

    /// Seconds of CPU that it has used, and its memory in KiB now.
    pub fn usage(&self) -> (f64, u64) {
        let read = |name: &str| {
            std::fs::read_to_string(format!("/proc/{}/{name}", self.child.id())).unwrap_or_default()
        };
        let stat = read("stat");
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
        let status = read("status");
        let memory = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or("");
        let memory = memory.trim().trim_end_matches(" kB").parse().unwrap_or(0);
        ((ticks(11) + ticks(12)) / 100.0, memory)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ =
            Command::new("kill").args(["-CONT", &self.child.id().to_string()]).stderr(Stdio::null()).status();
        self.kill();
    }
}
