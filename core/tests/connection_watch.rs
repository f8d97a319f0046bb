//! Silent connections are told from slow targets, and retired with their siblings.

use std::time::{Duration, Instant};

use yuccalift_core::connection_watch::{ConnectionWatch, MAX_RETIRE_TIME};
use yuccalift_core::pause_detector::PauseDetector;
use yuccalift_testkit::cases;

const LATENCY: Duration = Duration::from_millis(5);

/// A watch over three connections of one age, which have all answered with the usual latency.
fn watch(now: Instant) -> ConnectionWatch {
    let mut watch = ConnectionWatch::new();
    for id in 1..=3 {
        watch.opened(now, id);
        let silence_timeout = watch.silence_timeout();
        watch.sent(now, id, silence_timeout);
        watch.bytes_received(now + LATENCY, id);
        watch.answered(id, Some(LATENCY));
    }
    watch
}

fn silence_is_doubted_in_time() {
    let start = Instant::now();
    let mut watch = watch(start);
    let silence_timeout = watch.silence_timeout();
    assert!(
        silence_timeout < MAX_RETIRE_TIME,
        "the expectation is within the bound"
    );
    let sent = start + LATENCY;
    watch.sent(sent, 1, silence_timeout);
    assert!(watch.overdue(sent + silence_timeout).is_empty(), "not yet");
    let late = sent + silence_timeout + Duration::from_millis(1);
    assert_eq!(watch.overdue(late), vec![1], "it owes bytes for too long");
    watch.start_probe(late);
    assert!(watch.overdue(late).is_empty(), "one question at a time");
}

fn an_answer_retires(answered: bool, expected: &[u64]) {
    let start = Instant::now();
    let mut watch = watch(start);
    let silence_timeout = watch.silence_timeout();
    let sent = start + LATENCY;
    watch.sent(sent, 1, silence_timeout);
    let late = sent + silence_timeout * 2;
    watch.start_probe(late);
    assert_eq!(
        watch.finish_probe(answered),
        expected,
        "idle siblings go with an answer only"
    );
}

fn bytes_meanwhile_save_a_connection() {
    let start = Instant::now();
    let mut watch = watch(start);
    let silence_timeout = watch.silence_timeout();
    watch.sent(start + LATENCY, 1, silence_timeout);
    let late = start + silence_timeout * 2;
    watch.start_probe(late);
    watch.bytes_received(late, 1);
    assert!(
        watch.finish_probe(true).is_empty(),
        "it has just sent bytes"
    );
}

fn siblings_that_live_are_kept() {
    let start = Instant::now();
    let mut watch = watch(start);
    let silence_timeout = watch.silence_timeout();
    watch.sent(start + LATENCY, 1, silence_timeout);
    let meanwhile = start + LATENCY * 2;
    watch.sent(meanwhile, 2, silence_timeout);
    watch.bytes_received(meanwhile + LATENCY, 2);
    watch.answered(2, Some(LATENCY));
    watch.sent(meanwhile, 3, silence_timeout * 9);
    watch.start_probe(start + silence_timeout * 2);
    assert_eq!(
        watch.finish_probe(true),
        vec![1],
        "one has answered since, the other is not overdue yet"
    );
}

fn a_pause_makes_all_suspect() {
    let start = Instant::now();
    let mut watch = watch(start);
    watch.suspect_all();
    assert!((1..=3).all(|id| watch.is_suspect(id)), "none is trusted");
    watch.bytes_received(start + LATENCY * 2, 2);
    assert!(!watch.is_suspect(2), "bytes prove it alive");
    assert!(watch.is_suspect(1), "and only it");
}

fn a_pause_is_noticed(gap_ms: u64, noticed: bool) {
    let start = Instant::now();
    let gap = Duration::from_millis(gap_ms);
    let mut clock = PauseDetector::new(start);
    let found = clock.observe(start + gap);
    assert_eq!(found, noticed.then_some(gap));
    assert_eq!(clock.observe(start + gap), None, "it is told once");
}

cases! {
    silence_raises_doubt: silence_is_doubted_in_time();
    an_answer_retires_idle_siblings: an_answer_retires(true, &[1, 2, 3]);
    no_answer_retires_the_overdue_alone: an_answer_retires(false, &[1]);
    bytes_while_it_is_asked: bytes_meanwhile_save_a_connection();
    a_sibling_with_signs_of_life: siblings_that_live_are_kept();
    a_pause: a_pause_makes_all_suspect();
    a_late_tick_is_no_pause: a_pause_is_noticed(200, false);
    a_second_is_a_pause: a_pause_is_noticed(1_000, true);
}
