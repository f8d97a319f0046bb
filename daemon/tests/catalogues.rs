//! The catalogues of log events and metrics agree with their pages, and nothing else is logged.

use std::fs;
use std::path::{Path, PathBuf};

use yuccalift_daemon::{EVENTS, METRICS, MetricKind};

/// Files that may call the logging library: the catalogue and the set-up of logging.
const LOGGING_FILES: [&str; 2] = ["events.rs", "logging.rs"];

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Returns the rows of the tables on a page of `docs/`, without their headers.
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
fn event_numbers_ascend_and_names_are_unique() {
    assert!(
        EVENTS
            .windows(2)
            .all(|pair| pair[0].number < pair[1].number),
        "the catalogue is in the order of its numbers"
    );
    let mut names: Vec<&str> = EVENTS.iter().map(|event| event.name).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), EVENTS.len(), "each name is unique");
}

#[test]
fn only_the_catalogue_logs() {
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

/// The text export has a series for every metric of the catalogue, before it is first recorded.
#[test]
fn every_metric_is_exported_as_text() {
    let text = yuccalift_daemon::MetricsClient::with_text_export().text();
    for metric in METRICS {
        let name = format!("# TYPE yuccalift_{} ", metric.name.replace('.', "_"));
        assert!(text.contains(&name), "{name}");
    }
}
