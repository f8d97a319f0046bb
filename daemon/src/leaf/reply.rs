//! Translation of a target's answers for the engine.

use awc::http::StatusCode;
use yuccalift_core::action::AttemptPlan;
use yuccalift_core::event::{AttemptFailure, AttemptReply, TargetUpdateKind};
use yuccalift_core::ids::AttemptId;
use yuccalift_wire::codec::from_json;
use yuccalift_wire::leaf::{LeafRefusal, LeafRefusalCode, LeafReply, LeafState, LeafStatus};

use super::connection::LeafAnswer;

/// Parses the answer to an attempt.
///
/// An answer that is truncated, malformed or to another attempt is garbled: both ends of the
/// connection no longer agree on the current request, so it must not be reused. A truncated body
/// can't pass as complete, because no JSON object is a prefix of another and its end is marked.
pub(super) fn read_answer(
    plan: &AttemptPlan,
    peer: &str,
    answer: &LeafAnswer,
) -> Result<AttemptReply, AttemptFailure> {
    if answer.status == StatusCode::OK {
        let reply: LeafReply = from_json("read leaf reply", peer, &answer.body)
            .map_err(|_malformed| AttemptFailure::Garbled)?;
        let matches =
            reply.complete && is_answer_to(plan, reply.attempt) && reply.query == plan.query;
        return if matches {
            Ok(attempt_reply(reply))
        } else {
            Err(AttemptFailure::Garbled)
        };
    }
    let refusal: LeafRefusal = from_json("read leaf refusal", peer, &answer.body)
        .map_err(|_malformed| AttemptFailure::Garbled)?;
    if is_answer_to(plan, refusal.attempt) {
        Err(attempt_failure(refusal))
    } else {
        Err(AttemptFailure::Garbled)
    }
}

/// Parses a status report into updates about the target, index versions first.
pub(super) fn read_status(peer: &str, answer: &LeafAnswer) -> Option<Vec<TargetUpdateKind>> {
    if answer.status != StatusCode::OK {
        return None;
    }
    let status: LeafStatus = from_json("read leaf status", peer, &answer.body).ok()?;
    let state = match status.state {
        LeafState::Cold | LeafState::Live => TargetUpdateKind::Live,
        LeafState::Draining => TargetUpdateKind::Draining,
    };
    let load = TargetUpdateKind::Load {
        load: status.load,
        age: std::time::Duration::from_millis(status.age_ms),
    };
    Some(vec![TargetUpdateKind::Held(status.held), state, load])
}

fn is_answer_to(plan: &AttemptPlan, attempt: AttemptId) -> bool {
    attempt == plan.attempt
}

fn attempt_reply(reply: LeafReply) -> AttemptReply {
    AttemptReply {
        attempt: reply.attempt,
        query: reply.query,
        shard: reply.shard,
        version: reply.version,
        held: reply.held,
        hits: reply.hits,
        complete: reply.complete,
    }
}

fn attempt_failure(refusal: LeafRefusal) -> AttemptFailure {
    if refusal.ran {
        return AttemptFailure::Cancelled;
    }
    match refusal.code {
        LeafRefusalCode::Shed => AttemptFailure::Shed,
        LeafRefusalCode::Draining => AttemptFailure::Draining,
        LeafRefusalCode::WrongVersion => AttemptFailure::WrongVersion { held: refusal.held },
        LeafRefusalCode::NotHosted => AttemptFailure::NotHosted,
        LeafRefusalCode::Expired => AttemptFailure::Expired,
        LeafRefusalCode::Cancelled => AttemptFailure::Cancelled,
    }
}
