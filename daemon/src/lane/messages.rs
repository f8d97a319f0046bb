//! The messages that other services send to the lane.

use actix::{Message, Recipient};
use tokio::sync::oneshot;
use yuccalift_core::action::EngineStatus;
use yuccalift_core::event::{EngineEvent, TargetNewsKind};
use yuccalift_core::ids::TargetId;
use yuccalift_core::quarantine::QuarantineNotice;
use yuccalift_core::{Refusal, SearchAnswer, SearchRequest};

use crate::control::Announce;

/// Asks the lane to run a request; the answer or refusal comes through `reply`.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct SubmitRequest {
    /// The request.
    pub request: SearchRequest,
    /// Where the answer goes.
    pub reply: oneshot::Sender<Result<SearchAnswer, Refusal>>,
}

/// Feeds the engine an event.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct FeedEngine(pub EngineEvent);

/// A peer's suspicion of a request.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct ReceiveNotice(pub QuarantineNotice);

/// Asks what the engine holds.
#[derive(Debug, Message)]
#[rtype(result = "StatusAnswer")]
pub struct GetStatus;

/// The answer to [`GetStatus`].
#[derive(Debug, actix::MessageResponse)]
pub struct StatusAnswer(pub EngineStatus);

/// Tells the lane where its news for other daemons goes.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct SetAnnouncer(pub Recipient<Announce>);

/// What a task learnt of a target beside its calls.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct TargetObserved {
    /// The target.
    pub(crate) target: TargetId,
    /// The news.
    pub(crate) updates: Vec<TargetNewsKind>,
}
