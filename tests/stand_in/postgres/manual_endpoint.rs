//! A stand-in endpoint whose connections become ready when the test says so.

use super::super::*;
use super::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, channel};

/// A host whose connections come up when the test says so.
pub struct SlowHost {
    pub address: SocketAddr,
    connections: Receiver<SlowConnection>,
}

/// A connection that is past the pooler's startup message and waits.
pub struct SlowConnection {
    pub stream: TcpStream,
}

impl SlowHost {
    pub fn start() -> SlowHost {
        let (send, connections) = channel();
        let send = Mutex::new(send);
        let address = listen(move |mut stream| {
            let mut length = [0; 4];
            if stream.read_exact(&mut length).is_err() {
                return;
            }
            let mut startup = vec![0; u32::from_be_bytes(length) as usize - 4];
            if stream.read_exact(&mut startup).is_ok() {
                let _ = send.lock().unwrap().send(SlowConnection { stream });
            }
        });
        SlowHost { address, connections }
    }

    pub fn next(&self) -> SlowConnection {
        self.connections.recv_timeout(PATIENCE).expect("a connection to the host")
    }
}

impl SlowConnection {
    /// Comes up; the first statement on it, or `None` where it ends without one.
    pub fn welcome_then_read(&self) -> Option<String> {
        let mut stream = &self.stream;
        let ready = [pg_message(b'R', &[0; 4]), pg_message(b'Z', b"I")].concat();
        stream.write_all(&ready).ok()?;
        let (kind, body) = pg_read(&mut stream)?;
        (kind == b'Q').then(|| String::from_utf8_lossy(&body[..body.len() - 1]).into_owned())
    }
}
