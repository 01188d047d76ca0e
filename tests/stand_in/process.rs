//! The program under test as a child process, and its log.

use super::waiting::DEFAULT_TIMEOUT;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which a test checks whether the child process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Creates an empty directory of the test's own; `name` is the start of the directory's name.
pub fn test_directory(name: &str) -> PathBuf {
    static NEXT_NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    let process_id = std::process::id();
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{process_id}-{number}"));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

/// A process of the program under test; killed when dropped.
pub struct Process {
    pub child: Child,
    log: Receiver<String>,
    /// The log lines that the `wait_for_` methods have read so far, in order.
    pub log_lines: Vec<String>,
}

impl Process {
    /// Starts the program with these arguments and environment variables.
    pub fn start(arguments: &[&str], variables: &[(&str, &str)]) -> Process {
        let mut command = Command::new(env!("CARGO_BIN_EXE_brookpass"));
        command.args(arguments).env_remove("GW_CONFIG").envs(variables.iter().copied());
        Process::spawn(command)
    }

    /// Starts a command that runs the program, and reads its standard error as the log.
    pub fn spawn(mut command: Command) -> Process {
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let standard_error = BufReader::new(child.stderr.take().unwrap());
        let (log_sender, log) = channel();
        thread::spawn(move || {
            for line in standard_error.lines().map_while(Result::ok) {
                if log_sender.send(line).is_err() {
                    return;
                }
            }
        });
        Process { child, log, log_lines: Vec::new() }
    }

    /// Waits for a log line that contains `text`, and returns it; a line already read does not count.
    pub fn wait_for_log(&mut self, text: &str) -> String {
        loop {
            match self.log.recv_timeout(DEFAULT_TIMEOUT) {
                Ok(line) => {
                    self.log_lines.push(line.clone());
                    if line.contains(text) {
                        return line;
                    }
                }
                Err(error) => panic!("no log line contains {text:?} ({error}): {:#?}", self.log_lines),
            }
        }
    }

    /// Returns the log lines that were written so far and not read yet.
    pub fn drain_log(&mut self) -> Vec<String> {
        let lines: Vec<String> = self.log.try_iter().collect();
        self.log_lines.extend(lines.iter().cloned());
        lines
    }

    /// Waits for a log line that contains `prefix`, and returns the address that follows it.
    pub fn wait_for_address(&mut self, prefix: &str) -> SocketAddr {
        let line = self.wait_for_log(prefix);
        let after_prefix = line.split(prefix).nth(1).unwrap();
        let is_address_character = |character: char| character.is_ascii_digit() || ".:".contains(character);
        let end =
            after_prefix.find(|character| !is_address_character(character)).unwrap_or(after_prefix.len());
        after_prefix[..end].parse().unwrap()
    }

    /// CPU time that all threads of the process have used.
    pub fn cpu_time(&self) -> Duration {
        /// CPU times in `/proc` are in ticks of `USER_HZ`, which is 100 on Linux.
        const TICK: Duration = Duration::from_millis(10);
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        // The fields after the command's name, which is in parentheses: the 12th and 13th are the ticks in user mode
        // and in the kernel.
        let fields = stat.rsplit(')').next().unwrap().split_whitespace();
        let ticks: u32 = fields.skip(11).take(2).map(|field| field.parse::<u32>().unwrap()).sum();
        TICK * ticks
    }

    /// The most memory that the process has used so far, in KiB.
    pub fn peak_memory_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        peak.trim().trim_end_matches(" kB").parse().unwrap()
    }

    /// Sends a signal, named as for kill(1): `-TERM`.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap();
        assert!(sent.success());
    }

    /// Waits until the process has exited; panics after [`DEFAULT_TIMEOUT`].
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let deadline = Instant::now() + DEFAULT_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < deadline, "the process has not exited: {:#?}", self.log_lines);
            thread::sleep(EXIT_POLL_INTERVAL);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
