//! Why a command did not end well, and the exit status that tells so.

use std::process::ExitCode;

use snafu::Snafu;

/// The exit status of a command that failed.
const EXIT_FAILURE: u8 = 1;
/// The exit status of bad use or bad settings.
const EXIT_USAGE: u8 = 2;

/// A command that did not end well.
#[derive(Debug, Snafu)]
pub enum CommandError {
    /// The command line can't be understood.
    #[snafu(context(false), display("{source}; see yuccalift --help"))]
    Usage {
        /// What the parser says.
        source: lexopt::Error,
    },
    /// Settings or another input are refused; each line of the message is one fault.
    #[snafu(display("{message}"))]
    InvalidInput {
        /// The faults.
        message: Box<str>,
    },
    /// The command was understood and failed.
    #[snafu(display("{step}: {message}"))]
    Failed {
        /// The step, with its peer where there is one.
        step: Box<str>,
        /// What went wrong.
        message: Box<str>,
    },
}

impl CommandError {
    /// Makes the error of a step that failed.
    pub fn failed(step: impl Into<Box<str>>, cause: &impl ToString) -> Self {
        Self::Failed {
            step: step.into(),
            message: cause.to_string().into(),
        }
    }

    /// The exit status that tells of it.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Usage { .. } | Self::InvalidInput { .. } => ExitCode::from(EXIT_USAGE),
            Self::Failed { .. } => ExitCode::from(EXIT_FAILURE),
        }
    }
}
