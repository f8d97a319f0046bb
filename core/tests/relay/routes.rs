//! Look-up of routes, and merging of records.

use yuccalift_core::relay::merge::greatest_records;
use yuccalift_core::relay::route::CallerLimits;
use yuccalift_core::relay::{RepeatKind, RouteTable};
use yuccalift_testkit::cases;

use crate::support::forward_route;

fn check_route(host: &str, path: &str, expected: Option<&str>) {
    let routes = ["a", "a/b", "c"].map(|service| {
        let mut route = forward_route(service, RepeatKind::Idempotent, 2);
        route.name = service.into();
        route
    });
    let table = RouteTable::new(1, routes.into(), Vec::new(), CallerLimits::default());
    let found = table.find(host, path).map(|route| route.name.as_ref());
    assert_eq!(found, expected, "{host}{path}");
}

fn check_merge(parts: &[&[u8]], wanted: usize, expected: &[u8]) {
    let merged = greatest_records(parts.iter().copied(), wanted);
    assert_eq!(merged, expected);
}

const LOW: &[u8] = b"aaaaaaaaaaaaaaaa";
const HIGH: &[u8] = b"zzzzzzzzzzzzzzzz";

cases! {
    the_longest_prefix_wins: check_route("shop.example", "/a/b/c", Some("a/b"));
    a_shorter_prefix_matches_other_paths: check_route("shop.example", "/a/c", Some("a"));
    a_prefix_matches_complete_path_segments: check_route("shop.example", "/ab", None);
    a_path_equal_to_the_prefix_matches: check_route("shop.example", "/c/", Some("c"));
    a_path_without_the_last_slash_does_not_match: check_route("shop.example", "/c", None);
    another_host_has_other_routes: check_route("else.example", "/a/", None);
    the_greatest_records_come_first: check_merge(&[LOW, HIGH], 2, &[HIGH, LOW].concat());
    only_the_wanted_number_is_returned: check_merge(&[LOW, HIGH], 1, HIGH);
    equal_records_are_all_kept: check_merge(&[HIGH, HIGH], 3, &[HIGH, HIGH].concat());
    trailing_bytes_are_ignored: check_merge(&[b"aaaaaaaaaaaaaaaazzz"], 2, LOW);
    no_records_are_returned_if_none_are_wanted: check_merge(&[LOW], 0, b"");
}
