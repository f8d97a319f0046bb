//! Settings that change while the relay runs: [`SettingsWatch`].
//!
//! The file may change with or without a signal, so it is also read periodically. Settings that a
//! running process can change are applied at once; the others wait for the next start, which is
//! logged. See `docs/OPERATIONS.md`, "Change the settings".

use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;
use yuccalift_core::relay::{ColdTolerance, RelayEvent, RelayTuning};
use yuccalift_settings::{RelaySettings, parse_relay};

use super::engine_driver::EngineDriver;
use crate::events::LogEvent;

/// Interval of reads without a signal; the file is small and is read within tens of microseconds.
const READ_PERIOD: Duration = Duration::from_secs(2);

/// A settings file and its text as last read.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    text: String,
}

impl SettingsFile {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Returns why the file can't be read, or every error in the settings, as text for an operator.
    pub fn open(path: &Path) -> Result<(Self, RelaySettings), String> {
        let text = read_text(path)?;
        let settings = parse(path, &text)?;
        let path = path.to_owned();
        Ok((Self { path, text }, settings))
    }

    /// Reads the file again; returns `None` if it has not changed.
    fn read_changed(&mut self) -> Option<Result<RelaySettings, String>> {
        match read_text(&self.path) {
            Ok(text) if text == self.text => None,
            Ok(text) => {
                self.text = text;
                Some(parse(&self.path, &self.text))
            }
            Err(error) => Some(Err(error)),
        }
    }
}

fn read_text(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path)
        .map_err(|error| format!("read settings, file {}: {error}", path.display()))
}

fn parse(path: &Path, text: &str) -> Result<RelaySettings, String> {
    parse_relay(&path.display().to_string(), text).map_err(|errors| errors.to_string())
}

/// The settings in effect, and the file that they come from.
pub(super) struct SettingsWatch {
    file: RefCell<SettingsFile>,
    settings: RefCell<RelaySettings>,
    last_error: RefCell<String>,
    driver: Rc<EngineDriver>,
}

impl SettingsWatch {
    /// Creates a watch over the file that `settings` were read from.
    pub(super) fn new(
        file: SettingsFile,
        settings: RelaySettings,
        driver: Rc<EngineDriver>,
    ) -> Rc<Self> {
        Rc::new(Self {
            file: RefCell::new(file),
            settings: RefCell::new(settings),
            last_error: RefCell::default(),
            driver,
        })
    }

    /// Returns the time limit of a graceful stop.
    pub(super) fn stop_timeout(&self) -> Duration {
        self.settings.borrow().stop_timeout
    }

    /// Reads the file periodically until `stop` is cancelled.
    pub(super) async fn run(self: Rc<Self>, stop: CancellationToken) {
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(READ_PERIOD) => {}
            }
            self.read_changed();
        }
    }

    /// Reads the file on request, and logs the result even if nothing has changed.
    pub(super) fn reload(&self) {
        if !self.read_changed() {
            let fault = self.last_error.borrow().clone();
            log_reload(&fault, "", "");
        }
    }

    /// Reads the file and applies its changes; returns false if nothing has changed.
    fn read_changed(&self) -> bool {
        let changed = self.file.borrow_mut().read_changed();
        match changed {
            None => false,
            Some(Ok(settings)) => {
                self.last_error.borrow_mut().clear();
                self.apply_settings(settings);
                true
            }
            Some(Err(fault)) => {
                // The settings in effect stay, and the same error is logged only once.
                let known = self.last_error.replace(fault.clone()) == fault;
                if !known {
                    log_reload(&fault, "", "");
                }
                !known
            }
        }
    }

    fn apply_settings(&self, settings: RelaySettings) {
        let change = SettingsChange::between(&self.settings.borrow(), &settings);
        if !change.applied.is_empty() {
            let tuning = relay_tuning(&settings);
            self.driver.feed(RelayEvent::TuningChanged(tuning));
        }
        self.settings.replace(settings);
        log_reload(
            "",
            &change.applied.join(","),
            &change.pending_restart.join(","),
        );
    }
}

fn log_reload(fault: &str, in_force: &str, waiting: &str) {
    LogEvent::SettingsReloaded {
        fault,
        in_force,
        waiting,
    }
    .emit();
}

/// Returns the settings that the engine uses and that may change while it runs.
pub(super) fn relay_tuning(settings: &RelaySettings) -> RelayTuning {
    RelayTuning {
        retry_share: settings.retry_share,
        retry_window: settings.retry_window,
        drain_time: settings.drain_time,
        cold: settings.cold_overage.map(|overage| ColdTolerance {
            overage,
            slack: settings.cold_slack,
        }),
        admission: settings.admission,
    }
}

/// Names of the fields in which two settings differ.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct SettingsChange {
    /// Changed fields that are applied at once.
    pub(super) applied: Vec<&'static str>,
    /// Changed fields that wait for the next start.
    pub(super) pending_restart: Vec<&'static str>,
}

impl SettingsChange {
    fn between(former: &RelaySettings, settings: &RelaySettings) -> Self {
        let (old, new) = (former, settings);
        let applied = [
            ("drain_time", old.drain_time != new.drain_time),
            (
                "retries.share",
                old.retry_share.to_bits() != new.retry_share.to_bits(),
            ),
            ("overload.admission", old.admission != new.admission),
            ("retries.window", old.retry_window != new.retry_window),
            (
                "cold.overage",
                old.cold_overage.map(f64::to_bits) != new.cold_overage.map(f64::to_bits),
            ),
            (
                "cold.slack",
                old.cold_slack.to_bits() != new.cold_slack.to_bits(),
            ),
            ("stop_timeout", old.stop_timeout != new.stop_timeout),
        ];
        let pending_restart = [
            ("host", old.host != new.host),
            ("data_centre", old.data_centre != new.data_centre),
            ("listen.callers", old.caller_listen != new.caller_listen),
            (
                "listen.readiness",
                old.readiness_listen != new.readiness_listen,
            ),
            ("listen.peers", old.peer_listen != new.peer_listen),
            ("listen.metrics", old.metrics_listen != new.metrics_listen),
            ("store", old.store != new.store),
            ("seed_peers", old.seed_peers != new.seed_peers),
            ("store_calls_per_second", old.store_calls != new.store_calls),
            (
                "evacuation.apply_time",
                old.evacuation_time != new.evacuation_time,
            ),
            ("memory_limit", old.memory_limit_mb != new.memory_limit_mb),
            (
                "descriptor_limit",
                old.descriptor_limit != new.descriptor_limit,
            ),
            (
                "outgoing_address",
                old.outgoing_address != new.outgoing_address,
            ),
            ("clock_behind", old.clock_behind != new.clock_behind),
            ("log", old.log != new.log),
        ];
        Self {
            applied: changed_names(&applied),
            pending_restart: changed_names(&pending_restart),
        }
    }
}

fn changed_names(fields: &[(&'static str, bool)]) -> Vec<&'static str> {
    let changed = fields.iter().filter(|(_, changed)| *changed);
    changed.map(|(name, _)| *name).collect()
}
