//! What targets say of themselves in their answers: [`SelfReport`].

/// What a target says of itself in one answer, apart from answering.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SelfReport {
    /// The rate of requests that the target accepts.
    pub rate_limit: ReportedRate,
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
