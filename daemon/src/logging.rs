//! Log output of the process.

use tracing_appender::non_blocking::{NonBlocking, WorkerGuard};
use tracing_subscriber::filter::EnvFilter;
use yuccalift_settings::{LogFormat, LogSettings};

use crate::events::LOG_TARGET;

/// Writes the remaining queued lines when dropped; hold it until the process ends.
#[derive(Debug)]
#[must_use = "queued lines are lost when the guard is dropped early"]
pub struct LogGuard {
    _worker: WorkerGuard,
}

/// Starts logging to standard output as the settings say; a second call has no effect.
///
/// Only the daemon's own events are written, so that every line has a number of the catalogue. A
/// separate thread writes them: a stalled reader of the output must not delay requests, so lines
/// beyond the queue's capacity are dropped.
pub fn start_logging(settings: &LogSettings) -> LogGuard {
    let filter = EnvFilter::new(format!("off,{LOG_TARGET}={}", settings.level));
    let (writer, worker) = NonBlocking::new(std::io::stdout());
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_target(false)
        .with_writer(writer);
    let _already_set = match settings.format {
        LogFormat::Text => builder.with_ansi(false).try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
    LogGuard { _worker: worker }
}
