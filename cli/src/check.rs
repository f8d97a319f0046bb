//! `yuccalift check`: checks settings and published documents, and shows every fault.

use lexopt::prelude::{Long, Short, Value, ValueExt};
use yuccalift_platform::template::{fill_sample, is_template};
use yuccalift_settings::SiteCheck;

use crate::error::CommandError;
use crate::input::read_file;

const HELP: &str = "\
yuccalift check: check settings and published documents

Usage: yuccalift check FILE...

FILE is the settings of a daemon (YAML), templates and accounts (YAML), a shard map (JSON) or the
bounds of the fleet (JSON), or the template from which the users' platform makes a relay's settings; its
kind is told from its text. Each fault is one line on standard
error: FILE:LINE: FIELD: found ...; allowed: ...

Files that are given together are also checked to go together: accounts ask only collections with a
shard map, target numbers and host names stand once, daemons have one key, and the fleet's bound
leaves room for the daemons.

Options:
  -h, --help  print this text

Exit status: 0 all is valid, 2 a document is refused or cannot be read, or they do not go together.
";

/// Runs the command.
///
/// # Errors
///
/// [`CommandError::InvalidInput`] if a document is refused; its faults have been shown by then.
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
    let mut site = SiteCheck::new();
    let refused = files
        .iter()
        .filter(|file| !check_file(&mut site, file))
        .count();
    let faults = site.faults();
    for fault in &faults {
        eprintln!("{fault}");
    }
    let message = match (refused, faults.len()) {
        (0, 0) => return Ok(()),
        (0, faults) => format!("check: {faults} faults between the documents"),
        (refused, _) => format!("check: {refused} of {} documents refused", files.len()),
    };
    let message = message.into();
    Err(CommandError::InvalidInput { message })
}

/// Checks one file and shows what came of it; whether it is valid.
fn check_file(site: &mut SiteCheck, file: &str) -> bool {
    let text = match read_file(file) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("{error}");
            return false;
        }
    };
    let template = is_template(&text);
    let text = match template.then(|| fill_sample(&text)) {
        None => text,
        Some(Ok(filled)) => filled,
        Some(Err(error)) => {
            eprintln!("{file}: {error}");
            return false;
        }
    };
    match site.add(file, &text) {
        Ok(kind) => {
            let template = if template { "template of " } else { "" };
            println!("{file}: valid {template}{}", kind.describe());
            true
        }
        Err(errors) => {
            eprintln!("{errors}");
            false
        }
    }
}
