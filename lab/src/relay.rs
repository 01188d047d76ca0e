//! A TCP relay on one link, which injects faults into the traffic in each direction.
//!
//! Links between nodes of a fleet carry length-prefixed frames: there whole frames are lost, as in a network that loses
//! messages. On other links bytes are only delayed, discarded or slowed down, and connections reset.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Bound of the connection to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Bound of one read, after which a quiet connection looks for a reset.
const READ_TIMEOUT: Duration = Duration::from_millis(20);
/// Bytes that one read takes at most.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Bytes of the length before each frame.
const FRAME_LENGTH_BYTES: usize = 4;

/// Faults of a link in one direction. The default is a sound link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// Delay of every byte.
    pub delay: Duration,
    /// Frames that are lost, of a hundred; on links without frames nothing is lost by chance.
    pub loss_percent: u8,
    /// Everything is discarded.
    pub cut: bool,
    /// Limit of the throughput; 0: none.
    pub bytes_per_second: u32,
}

impl LinkFaults {
    /// A sound link.
    pub const NONE: LinkFaults =
        LinkFaults { delay: Duration::ZERO, loss_percent: 0, cut: false, bytes_per_second: 0 };
    /// A link that discards everything.
    pub const CUT: LinkFaults = LinkFaults { cut: true, ..LinkFaults::NONE };
}

/// What a relay knows of the bytes that it carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayProtocol {
    /// Nothing: a stream of bytes.
    Bytes,
    /// After an HTTP upgrade the connections carry the frames of a fleet's peers.
    FleetFrames,
}

/// Bytes that a relay has passed on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayTraffic {
    /// Towards the target.
    pub forward_bytes: u64,
    /// From the target.
    pub backward_bytes: u64,
}

impl RelayTraffic {
    /// Bytes in both directions.
    pub fn total_bytes(self) -> u64 {
        self.forward_bytes + self.backward_bytes
    }
}

#[derive(Clone, Copy)]
enum Direction {
    Forward,
    Backward,
}

#[derive(Debug)]
struct State {
    target: SocketAddr,
    forward: LinkFaults,
    backward: LinkFaults,
    /// Count of resets: a connection ends when it differs from that at its start.
    resets: u64,
    traffic: RelayTraffic,
}

/// A relay. Clones share one state; it listens until the process ends.
#[derive(Clone)]
pub struct Relay {
    /// Where the relay listens.
    pub address: SocketAddr,
    protocol: RelayProtocol,
    state: Arc<Mutex<State>>,
}

impl Relay {
    /// Starts a relay to `target` on a free port.
    ///
    /// # Panics
    ///
    /// When no port is free.
    pub fn start(target: SocketAddr, protocol: RelayProtocol) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = State {
            target,
            forward: LinkFaults::NONE,
            backward: LinkFaults::NONE,
            resets: 0,
            traffic: RelayTraffic::default(),
        };
        let relay = Relay { address, protocol, state: Arc::new(Mutex::new(state)) };
        let accepting = relay.clone();
        thread::spawn(move || {
            for client in listener.incoming().map_while(Result::ok) {
                let relay = accepting.clone();
                thread::spawn(move || relay.serve(client));
            }
        });
        relay
    }

    /// Connects new connections to another target from now on.
    pub fn set_target(&self, target: SocketAddr) {
        self.state().target = target;
    }

    /// Sets the faults towards the target and from it, also for connections that are open.
    pub fn set_faults(&self, forward: LinkFaults, backward: LinkFaults) {
        let mut state = self.state();
        state.forward = forward;
        state.backward = backward;
    }

    /// Resets all connections that are open.
    pub fn reset_connections(&self) {
        self.state().resets += 1;
    }

    /// What has been passed on up to now.
    pub fn traffic(&self) -> RelayTraffic {
        self.state().traffic
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock of a relay")
    }

    /// Serves one connection until both directions have ended.
    fn serve(&self, client: TcpStream) {
        let target = self.state().target;
        let Ok(server) = TcpStream::connect_timeout(&target, CONNECT_TIMEOUT) else { return };
        let resets_at_start = self.state().resets;
        for stream in [&client, &server] {
            let _ = stream.set_nodelay(true);
        }
        let (Ok(client_copy), Ok(server_copy)) = (client.try_clone(), server.try_clone()) else { return };
        let backward = Pump { relay: self.clone(), direction: Direction::Backward, resets_at_start };
        let forward = Pump { relay: self.clone(), direction: Direction::Forward, resets_at_start };
        let backward = thread::spawn(move || backward.run(server_copy, client_copy));
        forward.run(client, server);
        let _ = backward.join();
    }
}

/// Carries one direction of one connection.
#[derive(Clone)]
struct Pump {
    relay: Relay,
    direction: Direction,
    resets_at_start: u64,
}

/// Bytes that leave the relay at a time.
struct Delayed {
    due_at: Instant,
    bytes: Vec<u8>,
}

impl Pump {
    /// The faults of this direction now; `None`: the connection has been reset.
    fn faults(&self) -> Option<LinkFaults> {
        let state = self.relay.state();
        let faults = match self.direction {
            Direction::Forward => state.forward,
            Direction::Backward => state.backward,
        };
        (state.resets == self.resets_at_start).then_some(faults)
    }

    /// Carries bytes until the connection ends. Reading and writing are two threads: what is delayed does not hold up
    /// what is read after it.
    fn run(&self, mut from: TcpStream, to: TcpStream) {
        let (sender, delayed) = channel();
        let writer = self.start_writer(to, delayed);
        let _ = from.set_read_timeout(Some(READ_TIMEOUT));
        let mut splitter = FrameSplitter::new(self.relay.protocol, self.relay.address.port());
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        while let Some(length) = read_some(&mut from, &mut buffer) {
            let Some(faults) = self.faults() else {
                let _ = from.shutdown(Shutdown::Both);
                break;
            };
            let bytes = splitter.push(&buffer[..length], faults.loss_percent);
            if bytes.is_empty() || faults.cut {
                continue;
            }
            if sender.send(Delayed { due_at: Instant::now() + faults.delay, bytes }).is_err() {
                break;
            }
        }
        drop(sender);
        let _ = writer.join();
        let _ = from.shutdown(Shutdown::Both);
    }

    fn start_writer(&self, mut to: TcpStream, delayed: Receiver<Delayed>) -> JoinHandle<()> {
        let pump = self.clone();
        thread::spawn(move || {
            while let Ok(next) = delayed.recv() {
                if !pump.write(&mut to, &next) {
                    break;
                }
            }
            let _ = to.shutdown(Shutdown::Both);
        })
    }

    /// Writes bytes when they are due; false: the connection has ended.
    fn write(&self, to: &mut TcpStream, next: &Delayed) -> bool {
        thread::sleep(next.due_at.saturating_duration_since(Instant::now()));
        let Some(faults) = self.faults() else { return false };
        if faults.bytes_per_second > 0 {
            let seconds = next.bytes.len() as f64 / f64::from(faults.bytes_per_second);
            thread::sleep(Duration::from_secs_f64(seconds));
        }
        if to.write_all(&next.bytes).is_err() {
            return false;
        }
        let written = next.bytes.len() as u64;
        let mut state = self.relay.state();
        match self.direction {
            Direction::Forward => state.traffic.forward_bytes += written,
            Direction::Backward => state.traffic.backward_bytes += written,
        }
        true
    }
}

/// Reads what there is, 0 bytes where nothing came within the read timeout; `None`: the connection has ended.
fn read_some(from: &mut TcpStream, buffer: &mut [u8]) -> Option<usize> {
    match from.read(buffer) {
        Ok(0) => None,
        Ok(length) => Some(length),
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Some(0),
        Err(_) => None,
    }
}

/// Splits the bytes of one direction into frames and loses some of them.
struct FrameSplitter {
    protocol: RelayProtocol,
    rng: fastrand::Rng,
    pending: Vec<u8>,
    /// The HTTP upgrade has passed: frames follow.
    upgraded: bool,
}

impl FrameSplitter {
    fn new(protocol: RelayProtocol, seed: u16) -> FrameSplitter {
        FrameSplitter {
            protocol,
            rng: fastrand::Rng::with_seed(u64::from(seed)),
            pending: Vec::new(),
            upgraded: false,
        }
    }

    /// Takes bytes in and returns what is passed on.
    fn push(&mut self, bytes: &[u8], loss_percent: u8) -> Vec<u8> {
        self.pending.extend_from_slice(bytes);
        if self.protocol == RelayProtocol::Bytes {
            return std::mem::take(&mut self.pending);
        }
        let mut passed = Vec::new();
        if !self.upgraded {
            passed = self.take_http_head();
        }
        while let Some(frame) = self.take_frame() {
            if self.rng.u8(..100) >= loss_percent {
                passed.extend(frame);
            }
        }
        passed
    }

    /// Takes a head that is complete. Only an upgrade has frames after it: all else passes with its body.
    fn take_http_head(&mut self) -> Vec<u8> {
        let Some(end) = self.pending.windows(4).position(|bytes| bytes == b"\r\n\r\n") else {
            return Vec::new();
        };
        self.upgraded =
            self.pending.starts_with(b"POST /fleet/link") || self.pending.starts_with(b"HTTP/1.1 101");
        let length = if self.upgraded { end + 4 } else { self.pending.len() };
        self.pending.drain(..length).collect()
    }

    /// Takes a frame that is complete, its length included.
    fn take_frame(&mut self) -> Option<Vec<u8>> {
        if !self.upgraded {
            return None;
        }
        let length = u32::from_be_bytes(*self.pending.first_chunk::<FRAME_LENGTH_BYTES>()?) as usize;
        let end = length + FRAME_LENGTH_BYTES;
        (self.pending.len() >= end).then(|| self.pending.drain(..end).collect())
    }
}
