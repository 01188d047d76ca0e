//! Tests of accepted and rejected descriptors.

use super::*;
use std::net::{TcpStream, UdpSocket};
use std::os::fd::AsRawFd;

/// Guards against a process that starts without the inherited socket, or with a descriptor that is not a listening
/// socket.
#[test]
fn only_a_listening_socket_is_inherited_and_the_duplicate_refers_to_it() {
    let original = TcpListener::bind("127.0.0.1:0").unwrap();
    let inherited = from_descriptor(&original.as_raw_fd().to_string()).unwrap();
    assert_eq!(inherited.local_addr().unwrap(), original.local_addr().unwrap());
    let client = TcpStream::connect(original.local_addr().unwrap()).unwrap();
    assert_eq!(inherited.accept().unwrap().1, client.local_addr().unwrap());
    drop(inherited);
    TcpStream::connect(original.local_addr().unwrap()).unwrap();
    let udp = UdpSocket::bind("127.0.0.1:0").unwrap();
    let file = std::fs::File::open("Cargo.toml").unwrap();
    for (value, message) in [
        (client.as_raw_fd().to_string(), "does not listen"),
        (udp.as_raw_fd().to_string(), "does not listen"),
        (file.as_raw_fd().to_string(), "no socket"),
        ("99999".into(), "descriptor"),
        ("-1".into(), "not the number"),
        ("three".into(), "not the number"),
        (String::new(), "not the number"),
    ] {
        let error = from_descriptor(&value).unwrap_err().to_string();
        assert!(error.starts_with("GW_PASSED_SOCKET=") && error.contains(message), "{error}");
    }
}
