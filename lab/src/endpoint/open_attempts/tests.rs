use super::*;
use crate::relay::{LinkFaults, Relay, RelayProtocol};
use std::io::{Read, Write};
use std::net::TcpListener;

/// Guards against an overlap that is reported because an endpoint's thread has not recorded the end of its attempt yet,
/// and against a true one that is not reported.
#[test]
fn an_attempt_is_open_until_its_client_closes_the_connection_or_its_end_is_recorded() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let connect = || {
        let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        (client, listener.accept().unwrap().0)
    };
    let attempts = OpenAttempts::default();
    let (first_client, first) = connect();
    let (_second_client, second) = connect();
    let first_registration = attempts.register(7, "a", &first);
    let second_registration = attempts.register(7, "b", &second);
    assert_eq!(attempts.endpoints_of(7), ["a", "b"]);
    assert!(attempts.endpoints_of(8).is_empty());
    drop(first_client);
    assert_eq!(attempts.endpoints_of(7), ["b"], "closed, although its end is not recorded");
    drop(second_registration);
    assert!(attempts.endpoints_of(7).is_empty());
    drop(first_registration);
    assert!(attempts.table().by_request.is_empty());
}

/// Guards against an overlap that is reported because the relay in front of an endpoint has not forwarded the close yet.
#[test]
fn a_close_that_the_relay_has_not_forwarded_counts() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let relay = Relay::start(listener.local_addr().unwrap(), RelayProtocol::Bytes);
    let mut client = TcpStream::connect(relay.address).unwrap();
    let mut served = listener.accept().unwrap().0;
    // The relay records the client before it forwards the first byte.
    client.write_all(b"x").unwrap();
    served.read_exact(&mut [0]).unwrap();
    let attempts = OpenAttempts::default();
    let _registration = attempts.register(7, "a", &served);
    assert_eq!(attempts.endpoints_of(7), ["a"]);
    // The writer of the relay sleeps when the client closes.
    relay.set_faults(
        LinkFaults { delay: std::time::Duration::from_secs(60), ..LinkFaults::NONE },
        LinkFaults::NONE,
    );
    client.write_all(b"x").unwrap();
    crate::eventually("the relay has read the byte", || {
        !is_readable(&relay::client_behind(served.peer_addr().unwrap()).unwrap())
    });
    drop(client);
    assert!(attempts.endpoints_of(7).is_empty());
    assert!(is_open(&served), "the relay has not closed its connection to the endpoint");
}

fn is_readable(stream: &TcpStream) -> bool {
    recv(stream, &mut [0_u8], RecvFlags::PEEK | RecvFlags::DONTWAIT).is_ok_and(|(received, _)| received > 0)
}
