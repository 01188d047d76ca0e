//! Retries a bind while the address is in use by another process.

use async_io::Timer;
use std::io;
use std::time::Duration;

/// Calls `bind` and retries it every `interval` as long as `is_retryable` returns true for the error.
///
/// # Errors
/// The first error for which `is_retryable` returns false.
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
