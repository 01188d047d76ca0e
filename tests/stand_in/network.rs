//! Listening sockets, and addresses and names of stand-in endpoints.

use brookpass::engine::endpoints::EndpointRegistry;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// Starts a server on a free loopback port and returns its address. It accepts connections until the test
/// process ends and serves each in a thread.
pub fn spawn_server(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let serve = serve.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || serve(stream));
        }
    });
    address
}

/// Endpoint names in the order of the router's ring. A router without a known primary tries the first one.
pub fn names_in_ring_order<const N: usize>() -> [String; N] {
    let mut registry = EndpointRegistry::default();
    let mut names = std::array::from_fn(|number| format!("host-{number}"));
    names.sort_by_key(|name| registry.register(name));
    names
}

/// A loopback address with a free port, on which no socket listens.
pub fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}
