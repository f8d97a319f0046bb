//! Notices that the process was paused: stopped, starved or suspended with its machine.
//!
//! A thread of its own sleeps for a short period and compares clocks when it wakes. The monotonic
//! clock goes on while the process is stopped; the wall clock also while the machine is suspended.
//! A busy runtime does not disturb it, since nothing else runs on the thread.

use std::time::{Duration, Instant, SystemTime};

use tokio_util::sync::CancellationToken;

/// How often the clocks are compared.
const WATCH_PERIOD: Duration = Duration::from_millis(100);
/// How much later than due a wake-up is taken for a pause.
pub const MIN_PAUSE: Duration = Duration::from_secs(1);

/// Starts the watch on a thread of its own; `on_pause` is called on it with the pause's length,
/// until the token is cancelled.
///
/// # Errors
///
/// The system's error if the thread can't be made.
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

/// The length of a pause during one period of the watch, if there was one. A wall clock that was
/// set forward is taken for a pause too: it costs a moment's care, where a missed pause costs
/// more.
pub fn detect_pause(monotonic: Duration, wall: Duration) -> Option<Duration> {
    let late = monotonic.max(wall).saturating_sub(WATCH_PERIOD);
    (late >= MIN_PAUSE).then_some(late)
}
