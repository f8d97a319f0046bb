//! A cut body never passes as a whole one, whichever codec it is in.

use yuccalift_core::control::{
    ConfigDigest, ExchangeMessage, ExchangeWants, MemberRecord, MemberState,
};
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

fn exchange() -> ExchangeMessage {
    ExchangeMessage {
        from: MemberRecord {
            host: "entry-1".into(),
            data_centre: "hanoi".into(),
            address: ([127, 0, 0, 1], 7000).into(),
            incarnation: 1,
            refutation: 0,
            state: MemberState::Alive,
        },
        config: ConfigDigest {
            version: 7,
            hash: 3,
        },
        digest: 5,
        heartbeats: Vec::new(),
        rumors: Vec::new(),
        announcements: Vec::new(),
        delta: None,
        wants: ExchangeWants::default(),
    }
}

#[derive(serde::Serialize)]
struct NewerExchange {
    #[serde(flatten)]
    message: ExchangeMessage,
    added: &'static str,
}

#[test]
fn an_exchange_of_a_newer_daemon_is_read() {
    let newer = NewerExchange {
        message: exchange(),
        added: "by a newer daemon",
    };
    let body = to_rmp("write", "test", &newer).expect("it has a binary form");
    let read: ExchangeMessage = from_rmp("read", "test", &body).expect("it is read");
    assert_eq!(read, exchange());
}

cases! {
    exchange_cut: every_cut_is_refused(
        &to_rmp("write", "test", &exchange()).expect("it has a binary form"),
        |body| from_rmp::<ExchangeMessage>("read", "test", body).is_ok(),
    );
    json_cut: every_cut_is_refused(
        &to_json("write", "test", &reply()).expect("a reply has a JSON form"),
        |body| from_json::<LeafReply>("read", "test", body).is_ok(),
    );
    rmp_cut: every_cut_is_refused(
        &to_rmp("write", "test", &reply()).expect("a reply has a binary form"),
        |body| from_rmp::<LeafReply>("read", "test", body).is_ok(),
    );
}
