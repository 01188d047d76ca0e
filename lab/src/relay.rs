//! A TCP relay on one link, which injects faults into the traffic of each direction.
//!
//! Links between nodes of a fleet carry length-prefixed frames. There the relay drops whole frames, as a network that
//! loses messages would. On other links it only delays, throttles or discards bytes, or resets connections.

mod clients;

pub(crate) use clients::client_behind;

use clients::ClientEntry;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Timeout for connecting to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of one read, after which an idle connection checks whether it has been reset.
const READ_TIMEOUT: Duration = Duration::from_millis(20);
/// Size of the buffer of one read.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Size of the length that precedes each frame.
const FRAME_LENGTH_BYTES: usize = 4;

/// Faults of a link in one direction; none by default.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// Delay of every byte.
    pub delay: Duration,
    /// Percentage of the frames that are dropped at random; without effect on links without frames.
    pub loss_percent: u8,
    /// Whether everything is discarded.
    pub cut: bool,
    /// Limit of the throughput; 0 if there is none.
    pub bytes_per_second: u32,
}

impl LinkFaults {
    /// No faults.
    pub const NONE: LinkFaults =
        LinkFaults { delay: Duration::ZERO, loss_percent: 0, cut: false, bytes_per_second: 0 };
    /// A link that discards everything.
    pub const CUT: LinkFaults = LinkFaults { cut: true, ..LinkFaults::NONE };
}

/// The format of the bytes that a relay forwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayProtocol {
    /// An opaque stream of bytes.
    Bytes,
    /// HTTP, and after an upgrade the frames that peers of a fleet exchange.
    FleetFrames,
}

/// Bytes that a relay has forwarded.
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
    /// Number of resets. A connection ends once this differs from the number at its start.
    resets: u64,
    traffic: RelayTraffic,
}

/// A relay, which listens until the process exits. Clones share its state.
#[derive(Clone)]
pub struct Relay {
    /// Where the relay listens.
    pub address: SocketAddr,
    protocol: RelayProtocol,
    state: Arc<Mutex<State>>,
}

impl Relay {
    /// Starts a relay without faults to `target`, on a free port of the loopback interface.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    pub fn start(target: SocketAddr, protocol: RelayProtocol) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
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

    /// Sets the target of new connections; open ones keep theirs.
    pub fn set_target(&self, target: SocketAddr) {
        self.state().target = target;
    }

    /// Sets the faults towards the target (`forward`) and from it (`backward`), also for open connections.
    pub fn set_faults(&self, forward: LinkFaults, backward: LinkFaults) {
        let mut state = self.state();
        state.forward = forward;
        state.backward = backward;
    }

    /// Resets all open connections.
    pub fn reset_connections(&self) {
        self.state().resets += 1;
    }

    /// The bytes forwarded so far.
    pub fn traffic(&self) -> RelayTraffic {
        self.state().traffic
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock of a relay")
    }

    /// Forwards one connection until both directions have ended.
    fn serve(&self, client: TcpStream) {
        let target = self.state().target;
        let Ok(server) = TcpStream::connect_timeout(&target, CONNECT_TIMEOUT) else { return };
        let _entry = ClientEntry::add(&client, &server);
        let resets_at_start = self.state().resets;
        for stream in [&client, &server] {
            let _ = stream.set_nodelay(true);
        }
        let (Ok(client_copy), Ok(server_copy)) = (client.try_clone(), server.try_clone()) else { return };
        let backward =
            DirectionForwarder { relay: self.clone(), direction: Direction::Backward, resets_at_start };
        let forward =
            DirectionForwarder { relay: self.clone(), direction: Direction::Forward, resets_at_start };
        let backward = thread::spawn(move || backward.run(server_copy, client_copy));
        forward.run(client, server);
        let _ = backward.join();
    }
}

/// Forwards one direction of one connection.
#[derive(Clone)]
struct DirectionForwarder {
    relay: Relay,
    direction: Direction,
    resets_at_start: u64,
}

/// Bytes with the time at which the relay forwards them.
struct Delayed {
    due_at: Instant,
    bytes: Vec<u8>,
}

impl DirectionForwarder {
    /// The current faults of this direction; `None` if the connection has been reset.
    fn faults(&self) -> Option<LinkFaults> {
        let state = self.relay.state();
        let faults = match self.direction {
            Direction::Forward => state.forward,
            Direction::Backward => state.backward,
        };
        (state.resets == self.resets_at_start).then_some(faults)
    }

    /// Forwards bytes until the connection ends. Reading and writing run in separate threads, so that delayed bytes do
    /// not hold up the reading of those after them.
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
        let forwarder = self.clone();
        thread::spawn(move || {
            while let Ok(next) = delayed.recv() {
                if !forwarder.write(&mut to, &next) {
                    break;
                }
            }
            let _ = to.shutdown(Shutdown::Both);
        })
    }

    /// Writes bytes when they are due; false if the connection has ended.
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

/// Reads the available bytes: 0 if none came within the read timeout, `None` if the connection has ended.
fn read_some(from: &mut TcpStream, buffer: &mut [u8]) -> Option<usize> {
    match from.read(buffer) {
        Ok(0) => None,
        Ok(length) => Some(length),
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Some(0),
        Err(_) => None,
    }
}

/// Splits the bytes of one direction into frames and drops some of them at random.
struct FrameSplitter {
    protocol: RelayProtocol,
    rng: fastrand::Rng,
    pending: Vec<u8>,
    /// Whether the HTTP upgrade has been forwarded, so that frames follow.
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

    /// Adds received bytes and returns those that are to be forwarded.
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

    /// Removes a complete HTTP head from the pending bytes. Frames follow only an upgrade; any other message is
    /// forwarded with its body.
    fn take_http_head(&mut self) -> Vec<u8> {
        let Some(end) = self.pending.windows(4).position(|bytes| bytes == b"\r\n\r\n") else {
            return Vec::new();
        };
        self.upgraded =
            self.pending.starts_with(b"POST /fleet/link") || self.pending.starts_with(b"HTTP/1.1 101");
        let length = if self.upgraded { end + 4 } else { self.pending.len() };
        self.pending.drain(..length).collect()
    }

    /// Removes a complete frame from the pending bytes, including its length.
    fn take_frame(&mut self) -> Option<Vec<u8>> {
        if !self.upgraded {
            return None;
        }
        let length = u32::from_be_bytes(*self.pending.first_chunk::<FRAME_LENGTH_BYTES>()?) as usize;
        let end = length + FRAME_LENGTH_BYTES;
        (self.pending.len() >= end).then(|| self.pending.drain(..end).collect())
    }
}
