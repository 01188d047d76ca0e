//! Listening sockets, and addresses and names of stand-in endpoints.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// Takes connections for as long as the test runs, each in a thread.
pub fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
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

/// Names in the order of the module's ring: a fresh module tries the first one as its primary.
pub fn names<const N: usize>() -> [String; N] {
    let mut members = brookpass::engine::endpoints::EndpointRegistry::default();
    let mut names = std::array::from_fn(|n| format!("host-{n}"));
    names.sort_by_key(|name| members.id(name));
    names
}

/// An address where nobody listens.
pub fn nobody() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}
