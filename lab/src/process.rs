//! One process of the program and its log.

use crate::{DEFAULT_TIMEOUT, POLL_INTERVAL, eventually};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// CPU times in `/proc` are in ticks of `USER_HZ`, which is 100 on Linux.
const CPU_TICKS_PER_SECOND: f64 = 100.0;
/// Index of the user-mode CPU time among the fields of `/proc/PID/stat` that follow the command's name.
const USER_TICKS_FIELD: usize = 11;
/// Index of the kernel-mode CPU time among the same fields.
const KERNEL_TICKS_FIELD: usize = 12;

/// How far the clock of a process is ahead of the machine's clock; negative if it is behind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockOffset {
    millis: i64,
}

impl ClockOffset {
    /// No offset: the process uses the machine's clock.
    pub const NONE: ClockOffset = ClockOffset { millis: 0 };

    /// Creates an offset from milliseconds.
    pub const fn from_millis(millis: i64) -> ClockOffset {
        ClockOffset { millis }
    }
}

/// The resources that a process uses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceUsage {
    /// CPU time since the start of the process, in seconds.
    pub cpu_seconds: f64,
    /// Current resident memory, in KiB.
    pub memory_kib: u64,
}

/// A process of the program, killed on drop.
pub struct Process {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts the program and collects the log that it writes to standard error.
    ///
    /// # Panics
    ///
    /// Panics if the program cannot be started.
    pub fn start(program: &Path, arguments: &[&str], clock_offset: ClockOffset) -> Process {
        let mut command = Command::new(program);
        command.args(arguments).env_remove("GW_CONFIG").env("BROOKPASS_LOG", "debug");
        if clock_offset != ClockOffset::NONE {
            command.env("BROOKPASS_CLOCK_OFFSET_MS", clock_offset.millis.to_string());
        }
        command.stderr(Stdio::piped()).stdout(Stdio::null());
        let mut child = command.spawn().expect("the program starts");
        let log = BufReader::new(child.stderr.take().expect("standard error is piped"));
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        let collected = lines.clone();
        thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                collected.lock().expect("lock of the log").push(line);
            }
        });
        Process { child, lines }
    }

    /// The log lines so far.
    pub fn log(&self) -> Vec<String> {
        self.lines.lock().expect("lock of the log").clone()
    }

    /// Waits for a log line that contains `text` and returns the first one.
    ///
    /// # Panics
    ///
    /// Panics if there is no such line within [`DEFAULT_TIMEOUT`]; the message contains the log.
    pub fn wait_for_line(&self, text: &str) -> String {
        let started = Instant::now();
        loop {
            let lines = self.lines.lock().expect("lock of the log");
            if let Some(line) = lines.iter().find(|line| line.contains(text)) {
                return line.clone();
            }
            drop(lines);
            assert!(started.elapsed() < DEFAULT_TIMEOUT, "no log line contains {text:?}: {:#?}", self.log());
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits for a log line that contains `text` and returns the address that follows it.
    ///
    /// # Panics
    ///
    /// Panics if there is no such line within [`DEFAULT_TIMEOUT`] or no address follows the text.
    pub fn wait_for_address(&self, text: &str) -> SocketAddr {
        let line = self.wait_for_line(text);
        let rest = line.split(text).nth(1).unwrap_or("");
        let end = rest.find(|c: char| !(c.is_ascii_digit() || ".:".contains(c))).unwrap_or(rest.len());
        rest[..end].parse().expect("an address follows in the log line")
    }

    /// Sends a signal, named as an option of the `kill` command such as `-STOP`.
    ///
    /// # Panics
    ///
    /// Panics if the signal cannot be sent.
    pub fn signal(&self, option: &str) {
        let sent = Command::new("kill").args([option, &self.child.id().to_string()]).status();
        assert!(sent.is_ok_and(|status| status.success()), "kill {option}");
    }

    /// Kills the process with SIGKILL, which gives it no chance to clean up, like a loss of power, and waits for its
    /// end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process exits by itself and returns its status.
    ///
    /// # Panics
    ///
    /// Panics if it still runs after [`DEFAULT_TIMEOUT`].
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        eventually("the process exits", || {
            status = self.child.try_wait().ok().flatten();
            status.is_some()
        });
        status.unwrap_or_default()
    }

    /// Whether the process has not exited yet.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_none())
    }

    /// Bytes that the process has caused to be written to storage, from `/proc`; 0 if the counter is not available.
    pub fn bytes_written(&self) -> u64 {
        let counters = self.read_proc_file("io");
        let written = counters.lines().find_map(|line| line.strip_prefix("write_bytes: "));
        written.and_then(|value| value.trim().parse().ok()).unwrap_or(0)
    }

    /// The CPU time and memory of the process; zeros once it has ended.
    pub fn resource_usage(&self) -> ResourceUsage {
        let stat = self.read_proc_file("stat");
        // The command's name is in parentheses and may contain spaces.
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks =
            |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
        let status = self.read_proc_file("status");
        let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("");
        ResourceUsage {
            cpu_seconds: (ticks(USER_TICKS_FIELD) + ticks(KERNEL_TICKS_FIELD)) / CPU_TICKS_PER_SECOND,
            memory_kib: memory.trim().trim_end_matches(" kB").parse().unwrap_or(0),
        }
    }

    fn read_proc_file(&self, name: &str) -> String {
        std::fs::read_to_string(format!("/proc/{}/{name}", self.child.id())).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Continues a process that a test has paused with SIGSTOP, so that it can be killed.
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").args(["-CONT", &pid]).stderr(Stdio::null()).status();
        self.kill();
    }
}
