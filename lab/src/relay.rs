//! A relay on one link. What it does to the bytes is set from outside, at any time.
//!
//! Links between daemons carry frames with a length before them: there whole frames are lost, as on a network
//! that loses messages. On other links bytes are only late, cut or reset.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What happens to what goes one way.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// Every byte is so late.
    pub delay: Duration,
    /// Of a hundred frames so many are lost.
    pub loss: u8,
    /// Nothing passes; it is lost.
    pub cut: bool,
    /// Bytes a second; 0: as they come.
    pub rate: u32,
}

#[derive(Debug, Default)]
struct State {
    forth: LinkFaults,
    back: LinkFaults,
    /// Grows when all connections are reset.
    resets: u64,
    /// Bytes that passed, forth and back.
    passed: [u64; 2],
    connections: u64,
}

/// A relay.
#[derive(Clone)]
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    target: Arc<Mutex<SocketAddr>>,
}

impl Relay {
    /// Starts one; with `frames` it knows the frames between daemons.
    pub fn start(target: SocketAddr, frames: bool) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let shared: Arc<(Mutex<State>, Condvar)> = Arc::default();
        let target = Arc::new(Mutex::new(target));
        let relay = Relay { address, shared, target };
        let own = relay.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let own = own.clone();
                thread::spawn(move || own.connect(stream, frames));
            }
        });
        relay
    }

    /// Leads elsewhere from now on: whoever listened there has moved.
    pub fn set_target(&self, target: SocketAddr) {
        *self.target.lock().expect("a relay's lock") = target;
    }

    /// Sets what happens to what goes forth, towards the one that listens, and back.
    pub fn set(&self, forth: LinkFaults, back: LinkFaults) {
        let mut state = self.shared.0.lock().expect("a relay's lock");
        (state.forth, state.back) = (forth, back);
        self.shared.1.notify_all();
    }

    /// Resets all connections.
    pub fn reset(&self) {
        self.shared.0.lock().expect("a relay's lock").resets += 1;
        self.shared.1.notify_all();
    }

    /// Bytes that passed, forth and back.
    pub fn passed(&self) -> [u64; 2] {
        self.shared.0.lock().expect("a relay's lock").passed
    }

    /// Connections that were made through it.
    pub fn connections(&self) -> u64 {
        self.shared.0.lock().expect("a relay's lock").connections
    }

    fn connect(&self, near: TcpStream, frames: bool) {
        let target = *self.target.lock().expect("a relay's lock");
        let Ok(far) = TcpStream::connect_timeout(&target, Duration::from_secs(1)) else { return };
        let born = {
            let mut state = self.shared.0.lock().expect("a relay's lock");
            state.connections += 1;
            state.resets
        };
        for stream in [&near, &far] {
            let _ = stream.set_nodelay(true);
        }
        let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) else { return };
        let (own, other) = (self.clone(), self.clone());
        let back = thread::spawn(move || own.pump(far2, near2, 1, frames, born));
        other.pump(near, far, 0, frames, born);
        let _ = back.join();
    }

    fn weather(&self, way: usize) -> (LinkFaults, u64) {
        let state = self.shared.0.lock().expect("a relay's lock");
        (if way == 0 { state.forth } else { state.back }, state.resets)
    }

    /// Carries one way until it ends.
    fn pump(&self, mut from: TcpStream, to: TcpStream, way: usize, frames: bool, born: u64) {
        let (send, due) = std::sync::mpsc::channel::<(Instant, Vec<u8>)>();
        let writer = {
            let (own, mut to) = (self.clone(), to);
            thread::spawn(move || {
                while let Ok((at, bytes)) = due.recv() {
                    thread::sleep(at.saturating_duration_since(Instant::now()));
                    let (weather, resets) = own.weather(way);
                    if resets != born {
                        break;
                    }
                    if weather.rate > 0 {
                        thread::sleep(Duration::from_secs_f64(bytes.len() as f64 / f64::from(weather.rate)));
                    }
                    if to.write_all(&bytes).is_err() {
                        break;
                    }
                    own.shared.0.lock().expect("a relay's lock").passed[way] += bytes.len() as u64;
                }
                let _ = to.shutdown(Shutdown::Both);
            })
        };
        let _ = from.set_read_timeout(Some(Duration::from_millis(20)));
        let mut rng = fastrand::Rng::with_seed(u64::from(self.address.port()));
        let (mut chunk, mut held) = (vec![0; 64 * 1024], Vec::new());
        let mut upgraded = false;
        loop {
            let n = match from.read(&mut chunk) {
                Ok(0) => break,
                Ok(n) => n,
                Err(e)
                    if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) =>
                {
                    0
                }
                Err(_) => break,
            };
            let (weather, resets) = self.weather(way);
            if resets != born {
                let _ = from.shutdown(Shutdown::Both);
                break;
            }
            held.extend_from_slice(&chunk[..n]);
            let mut out = Vec::new();
            if frames {
                if !upgraded && let Some(end) = held.windows(4).position(|w| w == b"\r\n\r\n") {
                    // The upgrade itself; what follows it are frames. Other exchanges pass as they are.
                    upgraded = held.starts_with(b"POST /fleet/link") || held.starts_with(b"HTTP/1.1 101");
                    let length = if upgraded { end + 4 } else { held.len() };
                    out.extend(held.drain(..length));
                }
                while upgraded
                    && let Some(length) = held.first_chunk::<4>().map(|l| u32::from_be_bytes(*l) as usize + 4)
                    && held.len() >= length
                {
                    let frame: Vec<u8> = held.drain(..length).collect();
                    if rng.u8(..100) >= weather.loss {
                        out.extend(frame);
                    }
                }
            } else {
                out.append(&mut held);
            }
            if out.is_empty() || weather.cut {
                continue;
            }
            if send.send((Instant::now() + weather.delay, out)).is_err() {
                break;
            }
        }
        drop(send);
        let _ = writer.join();
        let _ = from.shutdown(Shutdown::Both);
    }
}
