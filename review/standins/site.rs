//! Stand-ins and cases of the independent review; `review/build.sh` builds them with the compiler
//! alone. Usage: `site CASE FOLDER`.
#![allow(dead_code)]

mod at_most_once;
mod daemon;
mod dark_leaf;
mod http;
mod leaf;
mod poison;
mod record;
mod settings_change;
mod store;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// What a case has found.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else {
        eprintln!("usage: site CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&Path::new(folder).join("record.txt"));
    let process = std::process::id();
    let scratch = std::env::temp_dir().join(format!("yuccalift-review-{process}"));
    if let Err(error) = std::fs::create_dir_all(&scratch) {
        eprintln!("create {}: {error}", scratch.display());
        return ExitCode::from(2);
    }
    let verdict = match case.as_str() {
        "at-most-once" => at_most_once::play(&record, &scratch, has_trouble),
        "poison" => poison::play(&record, &scratch, has_trouble),
        "settings-change" => settings_change::play(&record, &scratch, has_trouble),
        other => Verdict::CouldNotRun(format!("no case {other}")),
    };
    let _ = std::fs::remove_dir_all(&scratch);
    let code = match verdict {
        Verdict::Held => {
            record.say("the rule held");
            0
        }
        Verdict::Broken => {
            record.say("the rule was broken");
            1
        }
        Verdict::CouldNotRun(reason) => {
            record.say(&format!("the case could not run: {reason}"));
            2
        }
    };
    record.flush();
    ExitCode::from(code)
}
