//! The wire adapter: one [`Router`] per instance behind frames on standard input and output.

mod frames;

use brookpass::Router;
use brookpass::routing::*;
use frames::{HEADER, Reply, Wire};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;

#[derive(Default)]
struct Host {
    routers: BTreeMap<u32, Router>,
    rosters: BTreeMap<u8, Vec<EndpointEntry>>,
    actions: Vec<Action>,
}

impl Host {
    fn batch(&mut self, now: Timestamp, events: Vec<Wire>) -> Result<Reply, String> {
        let mut reply = Reply::default();
        for event in events {
            let (instance, event) = match event {
                Wire::Up { instance, seed, settings } => {
                    match catch_unwind(|| Router::new(*settings, seed)) {
                        Ok(router) => drop(self.routers.insert(instance, router)),
                        Err(_) => reply.die(instance, "the module panicked at its start"),
                    }
                    continue;
                }
                Wire::Stop { instance } => {
                    self.routers.remove(&instance).ok_or(format!("instance {instance} never started"))?;
                    continue;
                }
                Wire::Roster { slot, entries } => {
                    self.rosters.insert(slot, entries);
                    continue;
                }
                Wire::Members { instance, kind: ListKind::Failed, .. } => {
                    (instance, Event::EndpointList { kind: ListKind::Failed, entries: Vec::new() })
                }
                Wire::Members { instance, kind, slot } => {
                    let entries = self.rosters.get(&slot).ok_or(format!("list {slot} was never given"))?;
                    (instance, Event::EndpointList { kind, entries: entries.clone() })
                }
                Wire::Event { instance, event } => (instance, event),
            };
            let router =
                self.routers.get_mut(&instance).ok_or(format!("instance {instance} never started"))?;
            self.actions.clear();
            let actions = &mut self.actions;
            match catch_unwind(AssertUnwindSafe(|| router.handle(now, event, actions))) {
                Ok(()) => self.actions.iter().for_each(|a| reply.action(instance, a)),
                Err(panic) => {
                    let text = panic.downcast_ref::<String>().map(String::as_str);
                    let text = text.or_else(|| panic.downcast_ref::<&str>().copied());
                    reply.die(instance, text.unwrap_or("the module panicked"));
                }
            }
        }
        Ok(reply)
    }
}

/// Fills `buffer`; false where the input ended before its first byte.
fn fill(input: &mut impl Read, buffer: &mut [u8], what: &str) -> Result<bool, String> {
    let mut filled = 0;
    while filled < buffer.len() {
        match input.read(&mut buffer[filled..]) {
            Ok(0) if filled == 0 => return Ok(false),
            Ok(0) => return Err(format!("{what} cut after {filled} of {} bytes", buffer.len())),
            Ok(n) => filled += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("{what}: {e}")),
        }
    }
    Ok(true)
}

fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
    let mut host = Host::default();
    let mut head = [0; HEADER];
    for frame in 0u64.. {
        let at = |e: String| format!("frame {frame}: {e}");
        if !fill(input, &mut head, "header").map_err(at)? {
            break;
        }
        let (count, length, clock) = frames::header(&head);
        if !clock.is_finite() {
            return Err(at("the clock is not a number".to_string()));
        }
        // Read as it comes: a false length must not reserve memory that no frame fills.
        let mut body = Vec::new();
        let read = input.take(length as u64).read_to_end(&mut body).map_err(|e| at(e.to_string()))?;
        if read < length {
            return Err(at(format!("body cut after {read} of {length} bytes")));
        }
        let events = frames::decode(count, &body).map_err(at)?;
        let reply = host.batch(Timestamp::from_secs_f64(clock), events).map_err(at)?;
        output.write_all(&reply.bytes()).and_then(|()| output.flush()).map_err(|e| at(e.to_string()))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("brookpass-simulator-adapter: {e}");
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
mod tests;
