//! A cut body never passes as a whole one, whichever codec it is in.

use yuccalift_testkit::cases;
use yuccalift_wire::codec::{from_json, from_rmp, to_json, to_rmp};
use yuccalift_wire::leaf::LeafReply;

fn reply() -> LeafReply {
    LeafReply {
        query: 7,
        attempt: 3,
        shard: 1,
        version: 9,
        held: vec![8, 9],
        hits: Vec::new(),
        complete: true,
    }
}

fn every_cut_is_refused(written: &[u8], read: fn(&[u8]) -> bool) {
    assert!(read(written), "the whole body is read");
    for length in 0..written.len() {
        assert!(
            !read(&written[..length]),
            "a body cut at {length} is refused"
        );
    }
}

cases! {
    json_cut: every_cut_is_refused(
        &to_json("write", "test", &reply()).expect("a reply has a JSON form"),
        |body| from_json::<LeafReply>("read", "test", body).is_ok(),
    );
    rmp_cut: every_cut_is_refused(
        &to_rmp("write", "test", &reply()).expect("a reply has a binary form"),
        |body| from_rmp::<LeafReply>("read", "test", body).is_ok(),
    );
}
