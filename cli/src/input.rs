//! Reading the files that a command is given.

use crate::error::CommandError;

/// The text of a file.
///
/// # Errors
///
/// [`CommandError::InvalidInput`] if it cannot be read as text.
pub fn read_file(file: &str) -> Result<String, CommandError> {
    std::fs::read_to_string(file).map_err(|error| CommandError::InvalidInput {
        message: format!("read file {file}: {error}").into(),
    })
}
