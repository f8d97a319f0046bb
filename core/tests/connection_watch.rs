//! The connection watch distinguishes dead connections from slow targets and retires dead ones
//! together with idle connections that failed for the same reason; the pause detector finds pauses.

use std::time::{Duration, Instant};

use yuccalift_core::connection_watch::{ConnectionWatch, MAX_RETIRE_TIME};
use yuccalift_core::pause_detector::PauseDetector;
use yuccalift_testkit::cases;

const LATENCY: Duration = Duration::from_millis(5);

/// Creates a watch over three connections of equal age, each with one reply after `LATENCY`.
fn watch(now: Instant) -> ConnectionWatch {
    let mut watch = ConnectionWatch::new();
    for id in 1..=3 {
        watch.record_open(now, id);
        let silence_timeout = watch.silence_timeout();
        watch.record_send(now, id, silence_timeout);
        watch.record_bytes(now + LATENCY, id);
        watch.record_answer(id, Some(LATENCY));
    }
    watch
}

fn silent_connection_becomes_overdue() {
    let start = Instant::now();
    let mut watch = watch(start);
    let silence_timeout = watch.silence_timeout();
    assert!(
        silence_timeout < MAX_RETIRE_TIME,
        "the silence timeout is below the maximum time to retire"
    );
    let sent = start + LATENCY;
    watch.record_send(sent, 1, silence_timeout);
    assert!(
        watch.overdue(sent + silence_timeout).is_empty(),
        "the silence timeout has not passed"
    );
    let late = sent + silence_timeout + Duration::from_millis(1);
    assert_eq!(
        watch.overdue(late),
        vec![1],
        "the silence timeout has passed"
    );
    watch.start_probe(late);
    assert!(
        watch.overdue(late).is_empty(),
        "no connection is reported while a probe runs"
    );
}

fn check_retired_by_probe(answered: bool, expected: &[u64]) {
    let start = Instant::now();
    let mut watch = watch(start);
    let silence_timeout = watch.silence_timeout();
    let sent = start + LATENCY;
    watch.record_send(sent, 1, silence_timeout);
    let late = sent + silence_timeout * 2;
    watch.start_probe(late);
    assert_eq!(
        watch.finish_probe(answered),
        expected,
        "idle siblings are retired only if the probe was answered"
    );
}

fn bytes_during_a_probe_keep_the_connection() {
    let start = Instant::now();
    let mut watch = watch(start);
    let silence_timeout = watch.silence_timeout();
    watch.record_send(start + LATENCY, 1, silence_timeout);
    let late = start + silence_timeout * 2;
    watch.start_probe(late);
    watch.record_bytes(late, 1);
    assert!(
        watch.finish_probe(true).is_empty(),
        "bytes arrived during the probe"
    );
}

fn siblings_that_may_be_alive_are_kept() {
    let start = Instant::now();
    let mut watch = watch(start);
    let silence_timeout = watch.silence_timeout();
    watch.record_send(start + LATENCY, 1, silence_timeout);
    let meanwhile = start + LATENCY * 2;
    watch.record_send(meanwhile, 2, silence_timeout);
    watch.record_bytes(meanwhile + LATENCY, 2);
    watch.record_answer(2, Some(LATENCY));
    watch.record_send(meanwhile, 3, silence_timeout * 9);
    watch.start_probe(start + silence_timeout * 2);
    assert_eq!(
        watch.finish_probe(true),
        vec![1],
        "connection 2 has replied since and connection 3 is not overdue"
    );
}

fn all_connections_are_suspect_after_a_pause() {
    let start = Instant::now();
    let mut watch = watch(start);
    watch.suspect_all();
    assert!(
        (1..=3).all(|id| watch.is_suspect(id)),
        "every connection is suspect after a pause"
    );
    watch.record_bytes(start + LATENCY * 2, 2);
    assert!(!watch.is_suspect(2), "bytes prove a connection alive");
    assert!(watch.is_suspect(1), "other connections stay suspect");
}

fn pause_is_detected(gap_ms: u64, is_pause: bool) {
    let start = Instant::now();
    let gap = Duration::from_millis(gap_ms);
    let mut detector = PauseDetector::new(start);
    let found = detector.observe(start + gap);
    assert_eq!(found, is_pause.then_some(gap));
    assert_eq!(
        detector.observe(start + gap),
        None,
        "a pause is reported once"
    );
}

cases! {
    silence_makes_a_connection_overdue: silent_connection_becomes_overdue();
    answered_probe_retires_idle_siblings: check_retired_by_probe(true, &[1, 2, 3]);
    unanswered_probe_retires_only_overdue_connections: check_retired_by_probe(false, &[1]);
    connection_with_bytes_during_the_probe_is_not_retired: bytes_during_a_probe_keep_the_connection();
    siblings_that_may_be_alive_are_not_retired: siblings_that_may_be_alive_are_kept();
    pause_makes_connections_suspect: all_connections_are_suspect_after_a_pause();
    delay_of_200_ms_is_no_pause: pause_is_detected(200, false);
    delay_of_1_s_is_a_pause: pause_is_detected(1_000, true);
}
