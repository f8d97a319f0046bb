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
