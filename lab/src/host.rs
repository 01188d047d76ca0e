//! Stand-in hosts: groups of one primary and replicas that apply its log late, with a capacity, a cold start and a
//! hand-over. They write down what reached them and when.

use crate::http::{self, Message};
use crate::now;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// One operation that reached a host.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// The host.
    pub host: String,
    /// The request, as its client numbered it.
    pub request: u64,
    /// When it came, in Unix microseconds.
    pub at: i64,
    /// When the host was done with it, or saw that its connection was closed.
    pub until: i64,
    /// It wrote.
    pub write: bool,
    /// It was answered with 200.
    pub served: bool,
}

/// How a host is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Health {
    /// It takes connections and answers.
    pub up: bool,
    /// It takes work and answers nothing.
    pub silent: bool,
    /// Replicas apply the log so late, in milliseconds.
    pub lag: i64,
    /// An operation takes so long.
    pub work: Duration,
    /// Operations that run at once when it is warm.
    pub slots: usize,
    /// Operations that wait for a slot; more are turned away.
    pub queue: usize,
    /// When it started: it is cold at first.
    pub started: Option<Instant>,
}

/// Cold hosts start with this share of their slots, and have all of them after this.
pub const COLD: (f64, Duration) = (0.25, Duration::from_secs(16));

struct Inner {
    health: Health,
    primary: bool,
    running: usize,
    waiting: usize,
    most: usize,
}

/// A host.
#[derive(Clone)]
pub struct Host {
    /// Its name.
    pub name: String,
    /// Its group.
    pub group: u32,
    /// Its zone's name.
    pub zone: String,
    /// Where it listens.
    pub address: SocketAddr,
    inner: Arc<Mutex<Inner>>,
    /// Positions of the group's commits, in order.
    commits: Arc<Mutex<Vec<i64>>>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    /// Questions about itself that reached it: when.
    probes: Arc<Mutex<Vec<i64>>>,
}

/// All hosts, with one record of what reached them.
#[derive(Clone, Default)]
pub struct Hosts {
    /// The hosts.
    pub all: Vec<Host>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Hosts {
    /// Groups of so many hosts each; the first one of each is its primary. Host `n` is in zone `n` of the zones.
    pub fn start(groups: u32, each: usize, zones: &[String]) -> Hosts {
        let mut hosts = Hosts::default();
        for group in 1..=groups {
            let commits: Arc<Mutex<Vec<i64>>> = Arc::default();
            for n in 0..each {
                let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
                let health = Health {
                    up: true,
                    silent: false,
                    lag: 20,
                    work: Duration::from_millis(2),
                    slots: 8,
                    queue: 64,
                    started: None,
                };
                let host = Host {
                    name: format!("s-{group}-{n}"),
                    group,
                    zone: zones.get(n % zones.len().max(1)).cloned().unwrap_or_default(),
                    address: listener.local_addr().expect("an address"),
                    inner: Arc::new(Mutex::new(Inner {
                        health,
                        primary: n == 0,
                        running: 0,
                        waiting: 0,
                        most: 0,
                    })),
                    commits: commits.clone(),
                    arrivals: hosts.arrivals.clone(),
                    probes: Arc::default(),
                };
                let own = host.clone();
                thread::spawn(move || {
                    for stream in listener.incoming().map_while(Result::ok) {
                        let own = own.clone();
                        thread::spawn(move || own.serve(stream));
                    }
                });
                hosts.all.push(host);
            }
        }
        hosts
    }

    /// What reached them up to now.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("the record").clone()
    }

    /// A host by its name.
    pub fn named(&self, name: &str) -> &Host {
        self.all.iter().find(|h| h.name == name).expect("a host of this name")
    }

    /// The inventory as CSV, every address as `through` gives it for the host.
    pub fn inventory(&self, through: impl Fn(&Host) -> SocketAddr) -> String {
        let mut text = "name,address,group,zone\n".to_string();
        for host in &self.all {
            text += &format!("{},{},{},{}\n", host.name, through(host), host.group, host.zone);
        }
        text
    }

    /// The group's primary is another one from now on.
    pub fn hand_over(&self, group: u32, to: &str) {
        for host in self.all.iter().filter(|h| h.group == group) {
            host.inner.lock().expect("a host").primary = host.name == to;
        }
    }
}

impl Host {
    /// Changes how it is.
    pub fn set(&self, change: impl FnOnce(&mut Health)) {
        change(&mut self.inner.lock().expect("a host").health);
    }

    /// When it was asked about itself, in Unix microseconds.
    pub fn probes(&self) -> Vec<i64> {
        self.probes.lock().expect("the record").clone()
    }

    /// The most operations that it had at once, since the last question.
    pub fn most(&self) -> usize {
        std::mem::take(&mut self.inner.lock().expect("a host").most)
    }

    /// Operations that it may run at once now.
    pub fn slots(health: &Health) -> usize {
        let Some(started) = health.started else { return health.slots };
        let warm = (started.elapsed().as_secs_f64() / COLD.1.as_secs_f64()).min(1.0);
        ((health.slots as f64 * (COLD.0 + (1.0 - COLD.0) * warm)) as usize).max(1)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read(&mut reader) {
            let health = self.inner.lock().expect("a host").health;
            if !health.up {
                return;
            }
            let probe = request.first.contains("ASK%20%7B%7D ");
            if probe {
                self.probes.lock().expect("the record").push(now());
            }
            let Some(answer) =
                (if probe { Some(self.answer(false, 200)) } else { self.work(&request, reader.get_ref()) })
            else {
                return;
            };
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn note(&self, arrival: Arrival) {
        self.arrivals.lock().expect("the record").push(arrival);
    }

    /// Works on an operation; `None`: its connection has gone, or the host is silent.
    fn work(&self, request: &Message, stream: &TcpStream) -> Option<String> {
        let write = request.header("content-type") == Some("application/sparql-update");
        let text = if write { request.text() } else { request.first.clone() };
        let number: String = text.split("r%23").nth(1).or(text.split("r#").nth(1)).unwrap_or("").to_string();
        let number = number.chars().take_while(char::is_ascii_digit).collect::<String>().parse().unwrap_or(0);
        let at = now();
        let mut arrival =
            Arrival { host: self.name.clone(), request: number, at, until: at, write, served: false };
        let (health, primary) = {
            let inner = self.inner.lock().expect("a host");
            (inner.health, inner.primary)
        };
        if write && !primary {
            self.note(arrival);
            return Some(self.answer(false, 421));
        }
        let mut waited = false;
        loop {
            let mut inner = self.inner.lock().expect("a host");
            if inner.running < Host::slots(&health) && !health.silent {
                inner.running += 1;
                inner.waiting -= usize::from(waited);
                inner.most = inner.most.max(inner.running + inner.waiting);
                break;
            }
            if !waited {
                if inner.waiting >= health.queue && !health.silent {
                    drop(inner);
                    self.note(arrival);
                    return Some(self.answer(false, 503));
                }
                inner.waiting += 1;
                inner.most = inner.most.max(inner.running + inner.waiting);
                waited = true;
            }
            drop(inner);
            if gone(stream, Duration::from_millis(1)) {
                self.inner.lock().expect("a host").waiting -= 1;
                arrival.until = now();
                self.note(arrival);
                return None;
            }
        }
        let left = gone(stream, health.work);
        self.inner.lock().expect("a host").running -= 1;
        arrival.until = now();
        arrival.served = !left;
        self.note(arrival);
        // A write has its effect, whether or not anybody hears of it.
        let answer = self.answer(write, 200);
        (!left).then_some(answer)
    }

    fn answer(&self, commits: bool, status: u16) -> String {
        let (health, primary) = {
            let inner = self.inner.lock().expect("a host");
            (inner.health, inner.primary)
        };
        let mut log = self.commits.lock().expect("a group's log");
        let present = now() / 1000;
        let position = if commits {
            let next = log.last().map_or(present, |last| present.max(last + 1));
            log.push(next);
            next
        } else if primary {
            present.max(log.last().copied().unwrap_or(0))
        } else {
            present - health.lag
        };
        drop(log);
        let role = if primary { "primary" } else { "replica" };
        // The body tells the position of the data that it was made from.
        let body = position.to_string();
        format!(
            "HTTP/1.1 {status} S\r\nBrookpass-Role: {role}\r\nBrookpass-Position: {position}\r\n\
             Content-Type: text/plain\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }
}

/// Waits so long; true as soon as the other side has closed.
fn gone(stream: &TcpStream, span: Duration) -> bool {
    let end = Instant::now() + span;
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return false;
        }
        let _ = stream.set_read_timeout(Some(left.max(Duration::from_micros(100))));
        let seen = stream.peek(&mut [0]);
        let _ = stream.set_read_timeout(None);
        match seen {
            Ok(0) => return true,
            // Something was written behind: it is read after this answer.
            Ok(_) => {
                thread::sleep(left);
                return false;
            }
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => return true,
        }
    }
}
