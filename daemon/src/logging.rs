//! Sets up how the process writes its log.

use tracing_appender::non_blocking::{NonBlocking, WorkerGuard};
use tracing_subscriber::filter::EnvFilter;
use yuccalift_settings::{LogFormat, LogSettings};

use crate::events::LOG_TARGET;

/// Writes what waits of the log when it is dropped, so it is kept until the process ends.
#[derive(Debug)]
#[must_use = "lines that wait are lost when the guard is dropped early"]
pub struct LogGuard {
    _worker: WorkerGuard,
}

/// Sends the process's log to standard output, by the settings; a second call changes nothing.
///
/// Only the daemon's own events are written, so that every line has a number of the catalogue. A
/// thread of its own writes them: a reader that stands still must not hold up a request, and lines
/// beyond the queue are dropped instead.
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
