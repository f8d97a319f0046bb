//! `yuccalift check`: checks settings and published documents, and shows every fault.

use lexopt::prelude::{Long, Short, Value, ValueExt};
use yuccalift_settings::check_document;

use crate::error::CommandError;
use crate::input::read_file;

const HELP: &str = "\
yuccalift check: check settings and published documents

Usage: yuccalift check FILE...

FILE is the settings of a daemon (YAML), templates and accounts (YAML), a shard map (JSON) or the
bounds of the fleet (JSON); its kind is told from its text. Each fault is one line on standard
error: FILE:LINE: FIELD: found ...; allowed: ...

Options:
  -h, --help  print this text

Exit status: 0 every document is valid, 2 a document is refused or cannot be read.
";

/// Runs the command.
///
/// # Errors
///
/// [`CommandError::BadInput`] if a document is refused; its faults have been shown by then.
pub fn run(mut parser: lexopt::Parser) -> Result<(), CommandError> {
    let mut files = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => {
                print!("{HELP}");
                return Ok(());
            }
            Value(value) => files.push(value.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    if files.is_empty() {
        return Err(lexopt::Error::from("check: a file is missing").into());
    }
    check_files(&files)
}

fn check_files(files: &[String]) -> Result<(), CommandError> {
    let refused = files.iter().filter(|file| !check_file(file)).count();
    if refused == 0 {
        return Ok(());
    }
    let message = format!("check: {refused} of {} documents refused", files.len()).into();
    Err(CommandError::BadInput { message })
}

/// Checks one file and shows what came of it; whether it is valid.
fn check_file(file: &str) -> bool {
    let text = match read_file(file) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("{error}");
            return false;
        }
    };
    match check_document(file, &text) {
        Ok(kind) => {
            println!("{file}: valid {}", kind.describe());
            true
        }
        Err(errors) => {
            eprintln!("{errors}");
            false
        }
    }
}
