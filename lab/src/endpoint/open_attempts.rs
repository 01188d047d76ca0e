//! The attempts that are at endpoints, by request. When an attempt arrives, it is looked up whether the connections of
//! earlier attempts of the same request are still open.
//!
//! The threads of an endpoint and of the relay in front of it may run long after the pooler has closed the connection of
//! an attempt, so the time at which the endpoint records the end is no proof that the attempt was still there. The state
//! of the pooler's own connection is.

use crate::relay;
use rustix::io::Errno;
use rustix::net::{RecvFlags, recv};
use std::collections::BTreeMap;
use std::net::TcpStream;
use std::sync::{Arc, Mutex, MutexGuard};

/// An attempt that an endpoint has received and whose end it has not recorded.
struct OpenAttempt {
    /// Identifies the attempt among all attempts of the cluster.
    number: u64,
    endpoint: String,
    /// The pooler's connection: that to the relay, or without a relay that to the endpoint. `None` if it has failed.
    stream: Option<TcpStream>,
}

#[derive(Default)]
struct Table {
    last_number: u64,
    by_request: BTreeMap<u64, Vec<OpenAttempt>>,
}

/// The attempts at all endpoints of a cluster. Clones share their state.
#[derive(Clone, Default)]
pub(super) struct OpenAttempts(Arc<Mutex<Table>>);

/// The registration of an attempt, which ends when this is dropped.
pub(super) struct AttemptRegistration {
    attempts: OpenAttempts,
    request_id: u64,
    number: u64,
}

impl OpenAttempts {
    fn table(&self) -> MutexGuard<'_, Table> {
        self.0.lock().expect("lock of the open attempts")
    }

    /// The endpoints at which an attempt of the request has an open connection now, each once for each attempt.
    pub(super) fn endpoints_of(&self, request_id: u64) -> Vec<String> {
        let table = self.table();
        let attempts = table.by_request.get(&request_id).into_iter().flatten();
        let open = attempts.filter(|attempt| attempt.stream.as_ref().is_some_and(is_open));
        open.map(|attempt| attempt.endpoint.clone()).collect()
    }

    /// Registers an attempt that has arrived at an endpoint.
    pub(super) fn register(
        &self,
        request_id: u64,
        endpoint: &str,
        stream: &TcpStream,
    ) -> AttemptRegistration {
        let mut table = self.table();
        table.last_number += 1;
        let number = table.last_number;
        let behind_relay = stream.peer_addr().ok().and_then(relay::client_behind);
        let stream = behind_relay.or_else(|| stream.try_clone().ok());
        let attempt = OpenAttempt { number, endpoint: endpoint.to_string(), stream };
        table.by_request.entry(request_id).or_default().push(attempt);
        AttemptRegistration { attempts: self.clone(), request_id, number }
    }
}

impl Drop for AttemptRegistration {
    fn drop(&mut self) {
        let mut table = self.attempts.table();
        if let Some(attempts) = table.by_request.get_mut(&self.request_id) {
            attempts.retain(|attempt| attempt.number != self.number);
            if attempts.is_empty() {
                table.by_request.remove(&self.request_id);
            }
        }
    }
}

/// Whether the other side has not closed the connection. Does not block, whatever the mode of the stream.
fn is_open(stream: &TcpStream) -> bool {
    match recv(stream, &mut [0_u8], RecvFlags::PEEK | RecvFlags::DONTWAIT) {
        Ok((received, _)) => received > 0,
        Err(error) => error == Errno::AGAIN,
    }
}

#[cfg(test)]
mod tests;
