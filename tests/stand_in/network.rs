//! Listening sockets, and addresses and names of stand-in endpoints.

use brookpass::engine::endpoints::EndpointRegistry;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// Accepts connections for as long as the test runs and serves each in a thread. Returns the server's
/// address.
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

/// Endpoint names in the order of the router's ring. A router without knowledge tries the first one as its
/// primary.
pub fn names_in_ring_order<const N: usize>() -> [String; N] {
    let mut registry = EndpointRegistry::default();
    let mut names = std::array::from_fn(|number| format!("host-{number}"));
    names.sort_by_key(|name| registry.register(name));
    names
}

/// An address on which no socket listens.
pub fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}
