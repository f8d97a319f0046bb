//! Which route a request goes by, and how parts are merged.

use yuccalift_core::relay::merge::greatest_records;
use yuccalift_core::relay::route::CallerLimits;
use yuccalift_core::relay::{RepeatKind, RouteTable};
use yuccalift_testkit::cases;

use crate::support::forward_route;

fn finds(host: &str, path: &str, expected: Option<&str>) {
    let routes = ["a", "a/b", "c"].map(|service| {
        let mut route = forward_route(service, RepeatKind::Idempotent, 2);
        route.name = service.into();
        route
    });
    let table = RouteTable::new(1, routes.into(), Vec::new(), CallerLimits::default());
    let found = table.find(host, path).map(|route| route.name.as_ref());
    assert_eq!(found, expected, "{host}{path}");
}

fn merges(parts: &[&[u8]], wanted: usize, expected: &[u8]) {
    let merged = greatest_records(parts.iter().copied(), wanted);
    assert_eq!(merged, expected);
}

const LOW: &[u8] = b"aaaaaaaaaaaaaaaa";
const HIGH: &[u8] = b"zzzzzzzzzzzzzzzz";

cases! {
    the_longest_prefix_wins: finds("shop.example", "/a/b/c", Some("a/b"));
    a_shorter_prefix_serves_the_rest: finds("shop.example", "/a/c", Some("a"));
    a_prefix_is_whole_path_parts: finds("shop.example", "/ab", None);
    a_path_that_is_the_prefix_is_served: finds("shop.example", "/c/", Some("c"));
    a_path_without_the_last_slash_is_not: finds("shop.example", "/c", None);
    another_host_has_other_routes: finds("else.example", "/a/", None);
    the_greatest_come_first: merges(&[LOW, HIGH], 2, &[HIGH, LOW].concat());
    only_the_wanted_number_comes: merges(&[LOW, HIGH], 1, HIGH);
    equal_records_all_count: merges(&[HIGH, HIGH], 3, &[HIGH, HIGH].concat());
    a_short_rest_is_no_record: merges(&[b"aaaaaaaaaaaaaaaazzz"], 2, LOW);
    nothing_wanted_is_nothing: merges(&[LOW], 0, b"");
}
