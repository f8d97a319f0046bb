//! Detects pauses of the process: stopped by a signal, starved of CPU, or suspended with its
//! machine.
//!
//! A dedicated thread sleeps for a short period and compares clocks when it wakes up. The monotonic
//! clock advances while the process is stopped; the wall clock advances while the machine is
//! suspended too. Nothing else runs on the thread, so a busy runtime causes no false detection.

use std::time::{Duration, Instant, SystemTime};

use tokio_util::sync::CancellationToken;

/// Interval at which the clocks are compared.
const WATCH_PERIOD: Duration = Duration::from_millis(100);
/// Minimum delay of a wake-up that counts as a pause.
pub const MIN_PAUSE: Duration = Duration::from_secs(1);

/// Starts the watch on its own thread, until the token is cancelled. `on_pause` is called on that
/// thread with the length of each pause.
///
/// # Errors
///
/// [`std::io::Error`] if the thread can't be created.
pub fn watch_pauses(
    token: CancellationToken,
    on_pause: impl Fn(Duration) + Send + 'static,
) -> std::io::Result<()> {
    let watch = move || {
        while !token.is_cancelled() {
            let (started, wall) = (Instant::now(), SystemTime::now());
            std::thread::sleep(WATCH_PERIOD);
            let wall_elapsed = wall.elapsed().unwrap_or(Duration::ZERO);
            if let Some(pause) = detect_pause(started.elapsed(), wall_elapsed) {
                on_pause(pause);
            }
        }
    };
    std::thread::Builder::new()
        .name("pause-watch".to_owned())
        .spawn(watch)
        .map(drop)
}

/// Returns the length of the pause in one watch period, given the time that passed by each clock. A
/// wall clock that was set forward counts as a pause too: a false detection costs little, a missed
/// pause more.
pub fn detect_pause(monotonic: Duration, wall: Duration) -> Option<Duration> {
    let delay = monotonic.max(wall).saturating_sub(WATCH_PERIOD);
    (delay >= MIN_PAUSE).then_some(delay)
}
