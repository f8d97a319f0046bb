//! The code and the catalogues of log events and metrics say the same.

use std::fs;
use std::path::{Path, PathBuf};

use yuccalift_daemon::{EVENTS, METRICS, MetricKind};

/// The files that may speak to the logging library: the catalogue, and its set-up.
const LOGGING_FILES: [&str; 2] = ["events.rs", "logging.rs"];

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// The rows of the page's tables, without the heads.
fn rows(page: &str) -> Vec<String> {
    let text = fs::read_to_string(repository().join("docs").join(page)).expect("the page is there");
    let rows = text.lines().filter(|line| line.starts_with("| "));
    rows.skip(1).map(str::to_owned).collect()
}

#[test]
fn every_event_is_on_its_page() {
    let expected: Vec<String> = EVENTS
        .iter()
        .map(|event| {
            let level = event.level.to_string().to_lowercase();
            let fields: Vec<String> = event
                .fields
                .iter()
                .map(|name| format!("`{name}`"))
                .collect();
            let (number, name, meaning) = (event.number, event.name, event.meaning);
            format!(
                "| {number} | `{name}` | {level} | {} | {meaning} |",
                fields.join(", ")
            )
        })
        .collect();
    assert_eq!(
        rows("EVENTS.md").join("\n"),
        expected.join("\n"),
        "docs/EVENTS.md lists the code's events"
    );
}

#[test]
fn every_metric_is_on_its_page() {
    let expected: Vec<String> = METRICS
        .iter()
        .map(|metric| {
            let kind = match metric.kind {
                MetricKind::Counter => "counter",
                MetricKind::Gauge => "gauge",
                MetricKind::Timer => "timer",
            };
            let (name, unit, meaning) = (metric.name, metric.unit, metric.meaning);
            format!("| `yuccalift.{name}` | {kind} | {unit} | {meaning} |")
        })
        .collect();
    assert_eq!(
        rows("METRICS.md").join("\n"),
        expected.join("\n"),
        "docs/METRICS.md lists the code's metrics"
    );
}

#[test]
fn numbers_and_names_stand_once() {
    assert!(
        EVENTS
            .windows(2)
            .all(|pair| pair[0].number < pair[1].number),
        "the catalogue is in the order of its numbers"
    );
    let mut names: Vec<&str> = EVENTS.iter().map(|event| event.name).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), EVENTS.len(), "each name stands once");
}

#[test]
fn nothing_logs_but_the_catalogue() {
    for folder in [
        "daemon/src",
        "core/src",
        "kernel/src",
        "settings/src",
        "wire/src",
    ] {
        check_folder(&repository().join(folder));
    }
}

fn check_folder(folder: &Path) {
    for entry in fs::read_dir(folder).expect("the folder is there") {
        let path = entry.expect("the entry is read").path();
        if path.is_dir() {
            check_folder(&path);
            continue;
        }
        let name = path
            .file_name()
            .and_then(|name| name.to_str())
            .unwrap_or_default();
        if LOGGING_FILES.contains(&name) {
            continue;
        }
        let text = fs::read_to_string(&path).expect("the file is read");
        for word in ["tracing::", "println!", "eprintln!", "dbg!"] {
            let allowed = word.ends_with("println!") && path.ends_with("bin/yuccaliftd.rs");
            assert!(
                allowed || !text.contains(word),
                "{name}: log by LogEvent, not by {word}"
            );
        }
    }
}

/// Every metric of the catalogue is a series of the text, from the start.
#[test]
fn every_metric_is_in_the_text() {
    let text = yuccalift_daemon::MetricsClient::with_text_export().text();
    for metric in METRICS {
        let name = format!("# TYPE yuccalift_{} ", metric.name.replace('.', "_"));
        assert!(text.contains(&name), "{name}");
    }
}
