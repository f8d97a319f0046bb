//! Errors of commands, and the exit status for each.

use std::process::ExitCode;

use snafu::Snafu;

/// Exit status of a command that was understood but failed.
const EXIT_FAILURE: u8 = 1;
/// Exit status of an invalid command line, or of invalid settings or input files.
const EXIT_USAGE: u8 = 2;

/// The reason why a command did not succeed.
#[derive(Debug, Snafu)]
pub enum CommandError {
    /// The command line is invalid.
    #[snafu(context(false), display("{source}; see yuccalift --help"))]
    Usage {
        /// The error of the argument parser.
        source: lexopt::Error,
    },
    /// Settings or another input are invalid.
    #[snafu(display("{message}"))]
    InvalidInput {
        /// Error text; each line describes one error.
        message: Box<str>,
    },
    /// The command line was valid, but a step of the command failed.
    #[snafu(display("{step}: {message}"))]
    Failed {
        /// The step that failed, with the address of the peer if it called one.
        step: Box<str>,
        /// Cause of the failure.
        message: Box<str>,
    },
}

impl CommandError {
    /// Creates the error of a step that failed with `cause`.
    pub fn failed(step: impl Into<Box<str>>, cause: &impl ToString) -> Self {
        Self::Failed {
            step: step.into(),
            message: cause.to_string().into(),
        }
    }

    /// Returns the exit status that reports this error to the shell.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Usage { .. } | Self::InvalidInput { .. } => ExitCode::from(EXIT_USAGE),
            Self::Failed { .. } => ExitCode::from(EXIT_FAILURE),
        }
    }
}
