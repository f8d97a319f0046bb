//! Reads the input files of commands.

use crate::error::CommandError;

/// Reads a whole file as UTF-8 text.
///
/// # Errors
///
/// [`CommandError::InvalidInput`] if the file can't be read or is not UTF-8.
pub fn read_file(file: &str) -> Result<String, CommandError> {
    std::fs::read_to_string(file).map_err(|error| CommandError::InvalidInput {
        message: format!("read file {file}: {error}").into(),
    })
}
