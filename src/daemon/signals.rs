//! Unix signals as asynchronous events.

use super::DaemonError;
use async_io::Async;
use futures_lite::{AsyncReadExt, future};
use signal_hook::consts;
use std::io;
use std::os::unix::net::UnixStream;

/// A signal that the daemon handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGHUP: reload the configuration.
    Hangup,
    /// SIGTERM: drain and exit.
    Terminate,
}

impl Signal {
    fn number(self) -> i32 {
        match self {
            Signal::Hangup => consts::SIGHUP,
            Signal::Terminate => consts::SIGTERM,
        }
    }
}

/// The deliveries of one signal since [`SignalStream::subscribe`]. The signal handler writes one byte per delivery to a
/// socket pair.
pub struct SignalStream {
    pipe: Async<UnixStream>,
}

impl SignalStream {
    /// Replaces the signal's default action, which would terminate the process, with a delivery to this stream.
    ///
    /// # Errors
    /// [`DaemonError::Signals`] if the socket pair cannot be opened or the handler cannot be installed.
    pub fn subscribe(signal: Signal) -> Result<SignalStream, DaemonError> {
        open_pipe(signal.number()).map(|pipe| SignalStream { pipe }).map_err(DaemonError::Signals)
    }

    /// Completes at the next delivery, or immediately if one is pending.
    pub async fn received(&mut self) {
        let mut byte = [0];
        while let Err(error) = self.pipe.read(&mut byte).await {
            if error.kind() != io::ErrorKind::Interrupted {
                return;
            }
        }
    }

    /// Runs `work` to completion; `None` if the signal is delivered first.
    pub async fn unless_received<T>(&mut self, work: impl Future<Output = T>) -> Option<T> {
        let completed = async { Some(work.await) };
        let interrupted = async {
            self.received().await;
            None
        };
        future::or(completed, interrupted).await
    }
}

fn open_pipe(signal_number: i32) -> io::Result<Async<UnixStream>> {
    let (read_end, write_end) = UnixStream::pair()?;
    signal_hook::low_level::pipe::register(signal_number, write_end)?;
    Async::new(read_end)
}
