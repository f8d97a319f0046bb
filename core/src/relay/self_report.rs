//! What targets say of themselves in their answers: [`SelfReport`].

use std::time::Duration;

/// What a target says of itself in one answer, apart from answering.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SelfReport {
    /// Whether the target says that it is leaving.
    pub is_leaving: bool,
    /// Time for which the target wants no request from this daemon, if it turned one away.
    pub pause: Option<Duration>,
    /// The rate of requests that the target accepts.
    pub rate_limit: ReportedRate,
    /// Time for which the target remains cold, if it says so; zero if it is warm.
    pub cold_left: Option<Duration>,
    /// The load of the target, if it reports one.
    pub load: Option<ReportedLoad>,
}

/// The load of a target as it reports it. The figures may be out of date or false.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedLoad {
    /// Number of requests that are running, from all daemons.
    pub running: u32,
    /// Number of requests that wait for a slot.
    pub waiting: u32,
    /// Number of requests that can run at the same time; at least 1.
    pub slots: u32,
    /// Current service time as a multiple of the usual one; finite and positive.
    pub pace: f64,
}

/// The rate of requests, from all daemons together, that a target accepts until an answer says
/// otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ReportedRate {
    /// The answer names no limit.
    #[default]
    Unlimited,
    /// Requests per second; finite and not negative.
    Limited(f64),
    /// The answer names a limit that can't be read; what is known stays in effect.
    Unreadable,
}
