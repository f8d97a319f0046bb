//! The messages that other services send to the engine lane.

use actix::{Message, Recipient};
use tokio::sync::oneshot;
use yuccalift_core::action::EngineStatus;
use yuccalift_core::event::{EngineEvent, TargetUpdateKind};
use yuccalift_core::ids::TargetId;
use yuccalift_core::quarantine::QuarantineNotice;
use yuccalift_core::{Refusal, SearchAnswer, SearchRequest};

use crate::control::Announce;

/// Submits a request to the engine; the answer or refusal is sent through `reply`.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct SubmitRequest {
    /// The request to run.
    pub request: SearchRequest,
    /// Channel for the answer or refusal.
    pub reply: oneshot::Sender<Result<SearchAnswer, Refusal>>,
}

/// Feeds an event to the engine.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct FeedEngine(pub EngineEvent);

/// Delivers a peer's notice about a request that is suspected of crashing targets.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct ReceiveNotice(pub QuarantineNotice);

/// Requests the engine's status.
#[derive(Debug, Message)]
#[rtype(result = "StatusAnswer")]
pub struct GetStatus;

/// The answer to [`GetStatus`].
#[derive(Debug, actix::MessageResponse)]
pub struct StatusAnswer(pub EngineStatus);

/// Sets the recipient of the lane's announcements to other daemons.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct SetAnnouncer(pub Recipient<Announce>);

/// Reports state of a target that a maintenance task or status probe has observed.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct TargetObserved {
    /// The observed target.
    pub(crate) target: TargetId,
    /// Observed changes of the target's state, in the order in which they apply.
    pub(crate) updates: Vec<TargetUpdateKind>,
}
