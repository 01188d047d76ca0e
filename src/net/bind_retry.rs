//! Waiting for an address that another process still has.

use async_io::Timer;
use std::io;
use std::time::Duration;

/// Binds an address, and tries again after `interval` for as long as `is_retryable` holds for the error.
///
/// # Errors
/// The first error for which `is_retryable` does not hold.
pub(super) async fn bind_with_retry<S>(
    interval: Duration,
    bind: impl Fn() -> io::Result<S>,
    mut is_retryable: impl FnMut(&io::Error) -> bool,
) -> io::Result<S> {
    loop {
        match bind() {
            Err(error) if is_retryable(&error) => {
                Timer::after(interval).await;
            }
            result => return result,
        }
    }
}
