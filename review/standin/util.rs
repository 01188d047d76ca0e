//! Processes, time, ports, the record, and small helpers that all cases share.

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Ends of a case: the rule held, was broken, or could not be checked.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// Unix time in microseconds.
pub fn now_us() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_micros() as i64)
}

pub fn sleep_ms(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

/// Whether the case runs with its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A free port of the loopback interface, below the range from which the system takes ports by itself.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let start = u64::from(std::process::id()) * 37 + now_us() as u64 / 1000;
    loop {
        let port = 12_000 + (start + NEXT.fetch_add(1, Ordering::SeqCst) * 7) % 20_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Polls until `condition` holds; false if it does not within `seconds`.
pub fn wait_for(seconds: f64, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + Duration::from_secs_f64(seconds);
    while Instant::now() < end {
        if condition() {
            return true;
        }
        sleep_ms(10);
    }
    condition()
}

/// The record of a run: `record.txt` in the folder of the case. Each line starts with the milliseconds since the start.
pub struct Record {
    file: Mutex<File>,
    started_us: i64,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record { file: Mutex::new(file), started_us: now_us() }
    }

    /// Writes a line with the time `at_us`.
    pub fn line_at(&self, at_us: i64, text: &str) {
        let since = (at_us - self.started_us) as f64 / 1000.0;
        let mut file = self.file.lock().expect("lock of the record");
        let _ = writeln!(file, "{since:10.1} {text}");
    }

    pub fn line(&self, text: &str) {
        self.line_at(now_us(), text);
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// A process of the program, started with the command `run` of the deploy file. Killed on drop.
pub struct Program {
    child: Child,
}

/// The command `run` of the deploy file.
fn run_command(root: &Path) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let line = text.lines().find(|line| line.starts_with("run")).expect("a command run");
    line.split('"').nth(1).expect("a command in quotes").to_string()
}

impl Program {
    /// Starts the program from the root of the repository. Its log goes to `log`.
    pub fn start(root: &Path, arguments: &str, environment: &[(&str, &str)], log: &Path) -> Program {
        let command = format!("{} {arguments}", run_command(root));
        let log = File::create(log).expect("the log can be written");
        let mut shell = Command::new("/bin/sh");
        shell.args(["-c", &command]).current_dir(root).env_remove("GW_CONFIG").env("BROOKPASS_LOG", "debug");
        for (name, value) in environment {
            shell.env(name, value);
        }
        let copy = log.try_clone().expect("a copy of the log's descriptor");
        let child = shell.stdin(Stdio::null()).stdout(Stdio::from(copy)).stderr(Stdio::from(log)).spawn();
        let child = child.expect("the program starts");
        if let Ok(path) = std::env::var("CASE_PIDS") {
            let file = std::fs::OpenOptions::new().append(true).create(true).open(path);
            if let Ok(mut file) = file {
                let _ = writeln!(file, "{}", child.id());
            }
        }
        Program { child }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Where a case runs: the repository, the folder of the case, and a temporary folder.
pub struct Place {
    pub root: PathBuf,
    pub temporary: PathBuf,
    pub record: Record,
}
