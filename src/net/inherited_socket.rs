//! The clients' listening socket where the platform holds it, so that one process can follow another on it.

use rustix::net::sockopt::{socket_acceptconn, socket_type};
use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use std::net::TcpListener;

/// The listening socket that every process inherits as the descriptor of this number. A descriptor that is only
/// known by its number has no owner in this process, and to take it as it is would not be safe; the kernel hands
/// out a copy of it, which has one.
pub fn from_descriptor(number: &str) -> Result<TcpListener, String> {
    let bad = |why: &str| format!("GW_PASSED_SOCKET={number}: {why}");
    let parsed = number.trim().parse().ok().filter(|n| *n >= 0);
    let descriptor = parsed.ok_or_else(|| bad("not the number of a descriptor"))?;
    let copy = || {
        let own = pidfd_open(getpid(), PidfdFlags::empty())?;
        pidfd_getfd(own, descriptor, PidfdGetfdFlags::empty())
    };
    let socket = copy().map_err(|e| bad(&e.to_string()))?;
    let listens = socket_acceptconn(&socket).map_err(|_| bad("no socket"))?;
    if !listens || socket_type(&socket) != Ok(rustix::net::SocketType::STREAM) {
        return Err(bad("a socket that does not listen"));
    }
    Ok(TcpListener::from(socket))
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::{TcpStream, UdpSocket};
    use std::os::fd::AsRawFd;

    /// Guards against a start that goes on without the clients' socket, or with something else in its place.
    #[test]
    fn only_a_listening_socket_is_taken_and_it_is_the_same_one() {
        let held = TcpListener::bind("127.0.0.1:0").unwrap();
        let taken = from_descriptor(&held.as_raw_fd().to_string()).unwrap();
        assert_eq!(taken.local_addr().unwrap(), held.local_addr().unwrap());
        let client = TcpStream::connect(held.local_addr().unwrap()).unwrap();
        assert_eq!(taken.accept().unwrap().1, client.local_addr().unwrap());
        drop(taken);
        TcpStream::connect(held.local_addr().unwrap()).unwrap();
        let udp = UdpSocket::bind("127.0.0.1:0").unwrap();
        let file = std::fs::File::open("Cargo.toml").unwrap();
        for (number, why) in [
            (client.as_raw_fd().to_string(), "does not listen"),
            (udp.as_raw_fd().to_string(), "does not listen"),
            (file.as_raw_fd().to_string(), "no socket"),
            ("99999".into(), "descriptor"),
            ("-1".into(), "not the number"),
            ("three".into(), "not the number"),
            (String::new(), "not the number"),
        ] {
            let error = from_descriptor(&number).unwrap_err();
            assert!(error.starts_with("GW_PASSED_SOCKET=") && error.contains(why), "{error}");
        }
    }
}
