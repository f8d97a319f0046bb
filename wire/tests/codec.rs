//! Truncated bodies are rejected by both codecs, and messages of newer daemons are accepted.

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

fn assert_truncations_rejected(written: &[u8], read: fn(&[u8]) -> bool) {
    assert!(read(written), "the complete body is accepted");
    for length in 0..written.len() {
        assert!(
            !read(&written[..length]),
            "a body truncated to {length} bytes is rejected"
        );
    }
}

fn exchange_message() -> ExchangeMessage {
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
            era: 2,
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
fn exchange_with_an_unknown_field_is_read() {
    let newer = NewerExchange {
        message: exchange_message(),
        added: "by a newer daemon",
    };
    let body = to_rmp("write", "test", &newer).expect("the message has a MessagePack form");
    let read: ExchangeMessage =
        from_rmp("read", "test", &body).expect("the newer message is decoded");
    assert_eq!(read, exchange_message());
}

cases! {
    a_truncated_exchange_is_rejected: assert_truncations_rejected(
        &to_rmp("write", "test", &exchange_message()).expect("the message has a MessagePack form"),
        |body| from_rmp::<ExchangeMessage>("read", "test", body).is_ok(),
    );
    a_truncated_json_reply_is_rejected: assert_truncations_rejected(
        &to_json("write", "test", &reply()).expect("the reply has a JSON form"),
        |body| from_json::<LeafReply>("read", "test", body).is_ok(),
    );
    a_truncated_msgpack_reply_is_rejected: assert_truncations_rejected(
        &to_rmp("write", "test", &reply()).expect("the reply has a MessagePack form"),
        |body| from_rmp::<LeafReply>("read", "test", body).is_ok(),
    );
}
