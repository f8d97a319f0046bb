//! `yuccalift check`: checks settings and published documents, and reports every error.

use lexopt::prelude::{Long, Short, Value, ValueExt};
use yuccalift_platform::template::{SampleValues, fill_sample, is_template};
use yuccalift_settings::SiteCheck;

use crate::error::CommandError;
use crate::input::read_file;

const HELP: &str = "\
yuccalift check: check settings and published documents

Usage: yuccalift check FILE...

FILE is the settings of a daemon (YAML), templates and accounts (YAML), a shard map (JSON), the
bounds of the fleet (JSON), or the template from which the users' platform generates the settings of
a relay. The kind of a file is detected from its content. Each error is one line on standard error:
FILE:LINE: FIELD: found ...; allowed: ...

Files that are given together are also checked for consistency: accounts use only collections with
a shard map, target numbers and host names are unique, all daemons have the same key, and the bounds
of the fleet are large enough for the daemons.

Options:
  -h, --help  print this text

Exit status: 0 all files are valid, 2 a file is invalid, unreadable or inconsistent with another.
";

/// Runs the subcommand.
///
/// # Errors
///
/// [`CommandError::InvalidInput`] if a document is invalid. The errors have then been printed.
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
    let invalid = files
        .iter()
        .filter(|file| !check_file(&mut site, file))
        .count();
    let site_errors = site.site_errors();
    for error in &site_errors {
        eprintln!("{error}");
    }
    let message = match (invalid, site_errors.len()) {
        (0, 0) => return Ok(()),
        (0, count) => format!("check: {count} inconsistencies between the documents"),
        (invalid, _) => format!("check: {invalid} of {} documents are invalid", files.len()),
    };
    let message = message.into();
    Err(CommandError::InvalidInput { message })
}

/// Checks a file, prints the result and returns whether the file is valid.
fn check_file(site: &mut SiteCheck, file: &str) -> bool {
    let text = match read_file(file) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("{error}");
            return false;
        }
    };
    if !is_template(&text) {
        return check_text(site, file, &text, "");
    }
    let mut is_valid = true;
    for (values, label) in [
        (SampleValues::RequiredOnly, "template of "),
        (SampleValues::All, "template with all sections of "),
    ] {
        is_valid &= match fill_sample(&text, values) {
            Ok(filled) => check_text(site, file, &filled, label),
            Err(error) => {
                eprintln!("{file}: {error}");
                false
            }
        };
    }
    is_valid
}

/// Checks the text of a document and prints the result; `label` precedes the document's kind.
fn check_text(site: &mut SiteCheck, file: &str, text: &str, label: &str) -> bool {
    match site.add(file, text) {
        Ok(kind) => {
            println!("{file}: valid {label}{}", kind.describe());
            true
        }
        Err(errors) => {
            eprintln!("{errors}");
            false
        }
    }
}
