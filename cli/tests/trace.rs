//! `yuccalift trace` prints the log lines of one request from several files, ordered by time.

use std::process::Command;

use yuccalift_testkit::cases;

const FIRST_LOG: &str = r#"{"timestamp":"2026-01-01T00:00:01Z","level":"INFO","number":610,"event":"attempt_failed","request":"r1","outcome":"lost"}
{"timestamp":"2026-01-01T00:00:03Z","level":"WARN","number":612,"event":"request_ended","request":"r1","cause":"failed"}
{"timestamp":"2026-01-01T00:00:02Z","level":"WARN","number":612,"event":"request_ended","request":"r2","cause":"failed"}
{"timestamp":"2026-01-01T00:00:04Z","level":"WARN","num"#;
const SECOND_LOG: &str = r#"  1.25 frontend-1 {"timestamp":"2026-01-01T00:00:02Z","level":"INFO","number":609,"event":"attempt_repeated","request":"r1"}
a line of something else"#;

fn run_trace(arguments: &[&str], case: &str) -> (String, Option<i32>) {
    let folder = std::env::temp_dir().join(format!("trace-{}-{case}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder is created");
    let mut command = Command::new(env!("CARGO_BIN_EXE_yuccalift"));
    command.arg("trace").args(arguments);
    for (name, text) in [("one.log", FIRST_LOG), ("two.log", SECOND_LOG)] {
        std::fs::write(folder.join(name), text).expect("the log is written");
        command.arg(folder.join(name));
    }
    let output = command.output().expect("yuccalift runs");
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    (text, output.status.code())
}

fn events_are_printed_in_order() {
    let (text, status) = run_trace(&["r1"], "order");
    let events: Vec<&str> = text
        .lines()
        .filter_map(|line| line.split(' ').nth(3))
        .collect();
    assert_eq!(
        events[..3],
        ["attempt_failed", "attempt_repeated", "request_ended"]
    );
    assert!(text.contains("3 lines, 2 skipped"), "{text}");
    assert_eq!(status, Some(0));
}

fn trace_without_match_fails() {
    let (_, status) = run_trace(&["r9"], "none");
    assert_eq!(status, Some(1));
}

cases! {
    trace_orders_events_by_time: events_are_printed_in_order();
    trace_of_unknown_request_fails: trace_without_match_fails();
}
