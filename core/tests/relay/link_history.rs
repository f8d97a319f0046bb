//! The requests that a connection may carry after others.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use yuccalift_core::relay::LinkHistory;

use crate::support::ms;

/// Time from the sending of each request to its deadline.
const TIME_LEFT: Duration = Duration::from_secs(1);

#[test]
fn a_connection_carries_no_id_twice_before_the_deadline() {
    let start = Instant::now();
    let mut history = LinkHistory::default();
    assert!(history.is_new(), "it has carried nothing");
    history.record(start, "first", start + TIME_LEFT);
    history.record(start + ms(1), "second", start + TIME_LEFT);
    assert!(!history.is_new(), "it has carried two requests");
    assert!(!history.can_carry("first"), "an answer may be a copy");
    assert!(!history.can_carry("second"), "an answer may be a copy");
    assert!(history.can_carry("third"), "no answer has this id");
}

#[test]
fn the_latest_request_is_remembered_beyond_its_deadline() {
    let start = Instant::now();
    let mut history = LinkHistory::default();
    history.record(start, "first", start + TIME_LEFT);
    let later = start + 2 * TIME_LEFT;
    history.record(later, "second", later);
    assert!(history.can_carry("first"), "its deadline has passed");
    assert!(!history.can_carry("second"), "its copy may come next");
}

#[test]
fn a_history_is_bounded() {
    let start = Instant::now();
    let mut history = LinkHistory::default();
    let mut requests = 0;
    while history.can_carry(&format!("request-{requests}")) {
        history.record(start, &format!("request-{requests}"), start + TIME_LEFT);
        requests += 1;
        assert!(requests < 100_000, "a connection remembers few requests");
    }
}

proptest! {
    /// No request is sent over a connection that has carried its id within the deadline.
    #[test]
    fn no_live_id_is_carried_twice(steps in prop::collection::vec((0..20_u32, 0..300_u64, 0..400_u64), 1..200)) {
        let mut now = Instant::now();
        let mut history = LinkHistory::default();
        let mut carried: Vec<(u32, Instant)> = Vec::new();
        for (id, pause, time_left) in steps {
            now += ms(pause);
            let name = format!("request-{id}");
            let is_live = carried.iter().any(|(other, deadline)| *other == id && now < *deadline);
            let is_latest = carried.last().is_some_and(|(other, _)| *other == id);
            if history.can_carry(&name) {
                prop_assert!(!is_live && !is_latest, "{name} may be taken for an earlier request");
                history.record(now, &name, now + ms(time_left));
                carried.push((id, now + ms(time_left)));
            }
        }
    }
}
