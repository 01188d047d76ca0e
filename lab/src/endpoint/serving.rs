//! How a host answers.

use super::{Arrival, StandInEndpoint};
use crate::http::{self, Message};
use crate::now;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

impl StandInEndpoint {
    fn life(&self) -> Option<u64> {
        let inner = self.inner.lock().expect("a host");
        inner.health.up.then_some(inner.life)
    }

    pub(super) fn serve(&self, stream: TcpStream) {
        let Some(life) = self.life() else { return };
        let _ = stream.set_nodelay(true);
        if let Ok(own) = stream.try_clone() {
            self.streams.lock().expect("streams").push(own);
        }
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read(&mut reader) {
            let health = self.inner.lock().expect("a host").health;
            // Whoever means a process that had this port before, in a lab beside this one, is no operation.
            if !health.up || !request.first.contains(" /sparql") {
                return;
            }
            let probe = request.first.contains("ASK%20%7B%7D ");
            if self.is_lost(&request) {
                // It never came: nothing is written down but that somebody waits for it.
                while self.life() == Some(life) && !gone(reader.get_ref(), Duration::from_millis(20)) {}
                return;
            }
            if probe {
                self.probes.lock().expect("the record").push(now());
            }
            let Some(answer) =
                (if probe { Some(self.answer(false, 200)) } else { self.work(&request, reader.get_ref()) })
            else {
                return;
            };
            if self.life() != Some(life) {
                return;
            }
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
        let life = self.life()?;
        let mut waited = false;
        loop {
            let mut inner = self.inner.lock().expect("a host");
            if inner.running < StandInEndpoint::slots(&health) && !health.silent {
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
        if self.life() != Some(life) {
            // Its power went before it was done.
            return None;
        }
        // A write has its effect, whether or not anybody hears of it.
        let answer = self.answer(write, 200);
        (!left).then_some(answer)
    }

    fn answer(&self, commits: bool, status: u16) -> String {
        let (health, primary, running) = {
            let inner = self.inner.lock().expect("a host");
            (inner.health, inner.primary, inner.running)
        };
        let util = (running as f64 / StandInEndpoint::slots(&health) as f64).min(1.0);
        let mut log = self.log.lock().expect("a group's log");
        let present = now() / 1000;
        let position = if commits {
            let next = log.commits.last().map_or(present, |last| present.max(last + 1));
            log.commits.push(next);
            log.back = None;
            next
        } else if let Some(back) = log.back {
            if primary { back } else { back.min(present - health.lag) }
        } else if primary {
            present.max(log.commits.last().copied().unwrap_or(0))
        } else {
            present - health.lag
        };
        drop(log);
        let role = if primary { "primary" } else { "replica" };
        let up = health.started.map_or(86_400.0, |at| at.elapsed().as_secs_f64());
        // The body tells as of when the data is that it was made from: a primary's is of the present, wherever its log
        // stands.
        let body = if primary { position.max(present) } else { position }.to_string();
        format!(
            "HTTP/1.1 {status} S\r\nBrookpass-Role: {role}\r\nBrookpass-Position: {position}\r\n\
             Brookpass-Load: util={util:.3},up={up:.3}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\r\n{body}",
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
