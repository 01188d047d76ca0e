//! One process of the program, with its log.

use crate::{DEFAULT_TIMEOUT, POLL_INTERVAL, eventually};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// The unit of CPU times in `/proc`: `USER_HZ`, which is 100 on Linux.
const CPU_TICKS_PER_SECOND: f64 = 100.0;
/// Position of the CPU time in user mode among the fields of `/proc/PID/stat` after the command's name.
const USER_TICKS_FIELD: usize = 11;
/// The same of the CPU time in kernel mode.
const KERNEL_TICKS_FIELD: usize = 12;

/// How far the clock of a process is ahead of the machine's; negative: behind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockOffset {
    millis: i64,
}

impl ClockOffset {
    /// The machine's clock.
    pub const NONE: ClockOffset = ClockOffset { millis: 0 };

    /// An offset in milliseconds.
    pub const fn from_millis(millis: i64) -> ClockOffset {
        ClockOffset { millis }
    }
}

/// What a process has used up to now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceUsage {
    /// CPU time, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in KiB.
    pub memory_kib: u64,
}

/// A running process of the program. It is killed when this is dropped.
pub struct Process {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts the program with these arguments and collects its log, which it writes to its standard error.
    ///
    /// # Panics
    ///
    /// When the program cannot be started.
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

    /// The lines of the log up to now.
    pub fn log(&self) -> Vec<String> {
        self.lines.lock().expect("lock of the log").clone()
    }

    /// Waits for a line that contains `text` and returns the first one.
    ///
    /// # Panics
    ///
    /// When there is none within [`DEFAULT_TIMEOUT`]; the message has the whole log.
    pub fn wait_for_line(&self, text: &str) -> String {
        let started = Instant::now();
        loop {
            let lines = self.lines.lock().expect("lock of the log");
            if let Some(line) = lines.iter().find(|line| line.contains(text)) {
                return line.clone();
            }
            drop(lines);
            assert!(started.elapsed() < DEFAULT_TIMEOUT, "no line with {text:?}: {:#?}", self.log());
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits for a line that contains `text` and returns the address that follows it there.
    ///
    /// # Panics
    ///
    /// As [`Process::wait_for_line`], and when no address follows.
    pub fn wait_for_address(&self, text: &str) -> SocketAddr {
        let line = self.wait_for_line(text);
        let rest = line.split(text).nth(1).unwrap_or("");
        let end = rest.find(|c: char| !(c.is_ascii_digit() || ".:".contains(c))).unwrap_or(rest.len());
        rest[..end].parse().expect("an address in the log")
    }

    /// Sends a signal by the option that `kill` takes, as in `-STOP`.
    ///
    /// # Panics
    ///
    /// When the signal cannot be sent.
    pub fn signal(&self, option: &str) {
        let sent = Command::new("kill").args([option, &self.child.id().to_string()]).status();
        assert!(sent.is_ok_and(|status| status.success()), "kill {option}");
    }

    /// Kills the process with SIGKILL, as a loss of power does, and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process has ended by itself.
    ///
    /// # Panics
    ///
    /// When it runs on for [`DEFAULT_TIMEOUT`].
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        eventually("the process ends", || {
            status = self.child.try_wait().ok().flatten();
            status.is_some()
        });
        status.unwrap_or_default()
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_none())
    }

    /// Bytes that the process has caused to be written to storage.
    pub fn bytes_written(&self) -> u64 {
        let counters = self.read_proc_file("io");
        let written = counters.lines().find_map(|line| line.strip_prefix("write_bytes: "));
        written.and_then(|value| value.trim().parse().ok()).unwrap_or(0)
    }

    /// CPU time and memory that the process has used; zeros once it has ended.
    pub fn resource_usage(&self) -> ResourceUsage {
        let stat = self.read_proc_file("stat");
        // The command's name, in brackets, may contain spaces.
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
        // A process that a test has stopped is continued first.
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").args(["-CONT", &pid]).stderr(Stdio::null()).status();
        self.kill();
    }
}
