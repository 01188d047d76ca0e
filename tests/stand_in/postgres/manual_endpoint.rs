//! A stand-in endpoint that leaves the startup of each connection to the test.

use super::super::network::spawn_server;
use super::super::waiting::DEFAULT_TIMEOUT;
use super::messages;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, channel};

/// An endpoint that passes each of its connections to the test after the startup message.
pub struct ManualEndpoint {
    pub address: SocketAddr,
    connections: Receiver<ManualConnection>,
}

/// A connection on which the pooler has sent its startup message and waits for the response.
pub struct ManualConnection {
    pub stream: TcpStream,
}

impl ManualEndpoint {
    pub fn start() -> ManualEndpoint {
        let (connection_sender, connections) = channel();
        let connection_sender = Mutex::new(connection_sender);
        let address = spawn_server(move |mut stream| {
            if messages::read_startup(&mut stream).is_some() {
                let _ = connection_sender.lock().unwrap().send(ManualConnection { stream });
            }
        });
        ManualEndpoint { address, connections }
    }

    /// Waits for the pooler's next connection and its startup message.
    pub fn next_connection(&self) -> ManualConnection {
        self.connections.recv_timeout(DEFAULT_TIMEOUT).expect("the pooler opens a connection to the endpoint")
    }
}

impl ManualConnection {
    /// Completes the startup and returns the first statement, or `None` when the connection ends without one.
    pub fn complete_startup(&self) -> Option<String> {
        let mut stream = &self.stream;
        stream.write_all(&messages::startup_response()).ok()?;
        messages::read_message(&mut stream)?.query_text()
    }
}
