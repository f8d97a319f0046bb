//! `yuccalift trace`: prints the log lines of one request from the logs of several daemons.

use std::fs::File;
use std::io::{BufRead, BufReader};

use lexopt::prelude::{Long, Short, Value, ValueExt};
use serde_json::Value as JsonValue;

use crate::error::CommandError;

const HELP: &str = "\
yuccalift trace: print the log lines of one request from the logs of several daemons

Usage: yuccalift trace ID FILE...

The log lines of the request are printed in the order of their timestamps, each with the name of its
file. Text before the JSON object of a line, such as the prefix of a log collector, is ignored.
Truncated lines and lines of other programs are skipped and counted.

Exit status: 0 success, 1 no line found or a file can't be read, 2 invalid usage.
";

/// Fields of a log line that hold the id of a request.
const REQUEST_ID_FIELDS: [&str; 2] = ["request", "query"];
/// Fields that every log line has; they are printed at the start of a line or omitted.
const COMMON_FIELDS: [&str; 4] = ["timestamp", "level", "number", "event"];

/// A log line about the request.
struct MatchedLine {
    time: String,
    text: String,
}

/// Log lines about the request that were found so far, and the number of skipped lines.
#[derive(Default)]
pub(crate) struct TraceSearch {
    matched: Vec<MatchedLine>,
    skipped: u64,
}

impl TraceSearch {
    /// Adds a line of a file if it names the request; counts lines that are not log lines.
    pub(crate) fn add_line(&mut self, request: &str, file: &str, line: &str) {
        let object = line.find('{').map(|start| &line[start..]);
        let parsed = object.and_then(|text| serde_json::from_str::<JsonValue>(text).ok());
        let Some(fields) = parsed.filter(|fields| fields.get("event").is_some()) else {
            self.skipped += 1;
            return;
        };
        if names_request(&fields, request) {
            self.matched.push(MatchedLine {
                time: to_text(&fields["timestamp"]),
                text: describe(file, &fields),
            });
        }
    }

    fn print(&mut self) {
        self.matched
            .sort_by(|left, right| left.time.cmp(&right.time));
        for line in &self.matched {
            println!("{}", line.text);
        }
        println!(
            "{} lines, {} skipped because they are not log lines of a daemon",
            self.matched.len(),
            self.skipped
        );
    }
}

/// Runs the subcommand.
///
/// # Errors
///
/// [`CommandError::Failed`] if a file can't be read or no line names the request.
pub fn run(mut parser: lexopt::Parser) -> Result<(), CommandError> {
    let mut arguments = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => {
                print!("{HELP}");
                return Ok(());
            }
            Value(value) => arguments.push(value.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let [request, files @ ..] = arguments.as_slice() else {
        return Err(lexopt::Error::from("the request id is missing").into());
    };
    if files.is_empty() {
        return Err(lexopt::Error::from("at least one log file is required").into());
    }
    let mut search = TraceSearch::default();
    for file in files {
        read_file(&mut search, request, file)?;
    }
    search.print();
    if search.matched.is_empty() {
        return Err(CommandError::failed(
            "trace",
            &format!("no log line names request {request}"),
        ));
    }
    Ok(())
}

fn read_file(search: &mut TraceSearch, request: &str, file: &str) -> Result<(), CommandError> {
    let fail =
        |error: std::io::Error| CommandError::failed(format!("read log, file {file}"), &error);
    let mut reader = BufReader::new(File::open(file).map_err(fail)?);
    let mut line = Vec::new();
    while reader.read_until(b'\n', &mut line).map_err(fail)? > 0 {
        search.add_line(request, file, String::from_utf8_lossy(&line).trim_end());
        line.clear();
    }
    Ok(())
}

fn names_request(fields: &JsonValue, request: &str) -> bool {
    REQUEST_ID_FIELDS.iter().any(|name| {
        fields
            .get(name)
            .is_some_and(|value| to_text(value) == request)
    })
}

fn describe(file: &str, fields: &JsonValue) -> String {
    let mut text = format!(
        "{} {file} {} {}",
        to_text(&fields["timestamp"]),
        to_text(&fields["number"]),
        to_text(&fields["event"]),
    );
    for (name, value) in fields.as_object().into_iter().flatten() {
        if !COMMON_FIELDS.contains(&name.as_str()) {
            text.push(' ');
            text.push_str(name);
            text.push('=');
            text.push_str(&to_text(value));
        }
    }
    text
}

fn to_text(value: &JsonValue) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
