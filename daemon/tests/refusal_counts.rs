//! Refused requests are counted by route, service and reason, in a bounded number of series.

use std::time::Duration;

use yuccalift_core::relay::route::{CallerLimits, ServiceEntry, WeightedService};
use yuccalift_core::relay::{RepeatKind, RouteDestination, RouteEntry, RouteTable};
use yuccalift_daemon::MetricsClient;
use yuccalift_daemon::relay::refusal_counts::{MAX_REFUSAL_SERIES, OTHER, RefusalCounts};

/// Creates a table with a route to each of the services, which is named after its service.
fn table(services: &[&str]) -> RouteTable {
    let routes = services.iter().map(|service| RouteEntry {
        name: format!("to-{service}").into(),
        host: "shop.example".into(),
        prefix: format!("/{service}/").into(),
        destination: RouteDestination::Split(vec![WeightedService {
            service: (*service).into(),
            weight: 1.0,
        }]),
        repeat: RepeatKind::Idempotent,
        attempts: 2,
        timeout: Duration::from_secs(1),
        latency_aim: Duration::from_millis(100),
        priority: 1,
    });
    let entries = services.iter().map(|service| ServiceEntry {
        name: (*service).into(),
        ..ServiceEntry::default()
    });
    RouteTable::new(
        1,
        routes.collect(),
        entries.collect(),
        CallerLimits::default(),
    )
}

fn counts_with(services: &[&str]) -> (MetricsClient, RefusalCounts) {
    let metrics = MetricsClient::with_text_export();
    let mut counts = RefusalCounts::new(metrics.clone());
    counts.set_routes(&table(services));
    (metrics, counts)
}

/// Returns the series other than the one that is zero from the start, each with its count.
fn series(metrics: &MetricsClient) -> Vec<(String, u64)> {
    let text = metrics.text();
    let lines = text.lines();
    let lines = lines.filter_map(|line| line.strip_prefix("yuccalift_relay_refusals{"));
    let series = lines.map(|line| {
        let (labels, count) = line.split_once("} ").expect("a series has a value");
        let count = count.parse().expect("a count is a number");
        (labels.to_owned(), count)
    });
    series.filter(|(_, count)| *count > 0).collect()
}

fn labels(route: &str, service: &str, reason: &str) -> String {
    format!("reason=\"{reason}\",route=\"{route}\",service=\"{service}\"")
}

/// Guards against refusals of one kind, service or reason that are counted for another one.
#[test]
fn each_combination_has_its_count() {
    let (metrics, mut counts) = counts_with(&["a", "b"]);
    for _ in 0..3 {
        counts.count("to-a", "a", "overload");
    }
    counts.count("to-b", "b", "overload");
    counts.count("to-b", "b", "evacuated");
    counts.count("to-b", "", "no_time");
    counts.count("", "", "unconfigured");
    let mut expected = [
        (labels("to-a", "a", "overload"), 3),
        (labels("to-b", "b", "overload"), 1),
        (labels("to-b", "b", "evacuated"), 1),
        (labels("to-b", "", "no_time"), 1),
        (labels("", "", "unconfigured"), 1),
    ];
    expected.sort();
    let mut found = series(&metrics);
    found.sort();
    assert_eq!(found, expected);
}

/// Guards against a series for each name that was ever published, and against refusals that vanish
/// with the name of their route or service.
#[test]
fn series_of_former_names_are_merged() {
    let (metrics, mut counts) = counts_with(&[]);
    for version in 0..500 {
        let service = format!("s{version}");
        counts.set_routes(&table(&[&service]));
        counts.count(&format!("to-{service}"), &service, "overload");
        counts.count(&format!("to-{service}"), &service, "no_target");
        let found = series(&metrics);
        assert!(found.len() <= 4, "{} series", found.len());
        let sum: u64 = found.iter().map(|(_, count)| count).sum();
        assert_eq!(sum, 2 * (version + 1));
    }
    let expected = (labels(OTHER, OTHER, "overload"), 499);
    assert!(series(&metrics).contains(&expected));
}

/// Guards against a new series for a request that ends after its route was replaced, and for a name
/// that was not published at all.
#[test]
fn unknown_names_share_a_series() {
    let (metrics, mut counts) = counts_with(&["a"]);
    counts.set_routes(&table(&["b"]));
    counts.count("to-a", "a", "rejected");
    counts.count("to-b", "a", "rejected");
    counts.count("from-a-caller", "b", "rejected");
    let expected = [(labels(OTHER, OTHER, "rejected"), 3)];
    assert_eq!(series(&metrics), expected);
}

/// Guards against an export that grows with a configuration of very many names.
#[test]
fn number_of_series_is_limited() {
    let names: Vec<String> = (0..2 * MAX_REFUSAL_SERIES)
        .map(|number| format!("s{number}"))
        .collect();
    let services: Vec<&str> = names.iter().map(String::as_str).collect();
    let (metrics, mut counts) = counts_with(&services);
    for service in &services {
        counts.count(&format!("to-{service}"), service, "overload");
    }
    let found = series(&metrics);
    assert_eq!(found.len(), MAX_REFUSAL_SERIES + 1);
    let rest = (labels(OTHER, OTHER, "overload"), MAX_REFUSAL_SERIES as u64);
    assert!(found.contains(&rest));
    // A series that exists is still counted, and former names make room for new ones.
    counts.count("to-s0", "s0", "overload");
    assert!(series(&metrics).contains(&(labels("to-s0", "s0", "overload"), 2)));
    counts.set_routes(&table(&["t0"]));
    counts.count("to-t0", "t0", "overload");
    assert_eq!(series(&metrics).len(), 2);
}
