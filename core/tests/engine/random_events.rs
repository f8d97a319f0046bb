//! Random events of a randomised run and their frequencies.

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use yuccalift_core::PolicyKind;
use yuccalift_core::ids::{Fingerprint, IndexVersion, ShardId, TargetId};

/// Number of targets that maps can list.
pub const TARGETS: u32 = 12;
pub const SHARDS: u32 = 4;
/// Number of fingerprints; small, so that quarantines often apply to requests.
pub const FINGERPRINTS: u64 = 6;

/// An event of a randomised run.
///
/// A `usize` selects an item by its index modulo the number of items, a `u8` selects a kind of
/// fault, and times are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub enum RandomEvent {
    Submit {
        account: usize,
        execute: Option<ShardId>,
        fingerprint: Fingerprint,
        time_left: Option<u64>,
    },
    Reply(usize),
    WrongReply(usize, u8),
    Fail(usize, u8),
    DuplicateReply(usize),
    Advance(u64),
    Pause(u64),
    Map {
        shards: u32,
        replicas: u32,
        first: TargetId,
    },
    MapRemoved,
    Held(TargetId, IndexVersion),
    Draining(TargetId),
    Reachable(TargetId),
    Share(TargetId, u32),
    Quarantine(Fingerprint, bool),
    CallerDisconnected(usize),
    Stopping,
}

/// State of the event generator, which does not change during a run.
#[derive(Clone, Debug)]
pub struct RunState {
    pub policy: PolicyKind,
}

#[derive(Debug)]
pub struct RandomEventMachine;

impl ReferenceStateMachine for RandomEventMachine {
    type State = RunState;
    type Transition = RandomEvent;

    fn init_state() -> BoxedStrategy<RunState> {
        prop_oneof![
            3 => Just(PolicyKind::Full),
            1 => Just(PolicyKind::Baseline),
        ]
        .prop_map(|policy| RunState { policy })
        .boxed()
    }

    fn transitions(_: &RunState) -> BoxedStrategy<RandomEvent> {
        let pick = any::<prop::sample::Index>().prop_map(|index| index.index(1_000));
        let target = 0..TARGETS;
        prop_oneof![
            100 => submit(),
            220 => pick.clone().prop_map(RandomEvent::Reply),
            6 => (pick.clone(), 0..5_u8)
                .prop_map(|(pick, kind)| RandomEvent::WrongReply(pick, kind)),
            20 => (pick.clone(), 0..10_u8).prop_map(|(pick, kind)| RandomEvent::Fail(pick, kind)),
            6 => pick.clone().prop_map(RandomEvent::DuplicateReply),
            100 => (0..10_u64).prop_map(RandomEvent::Advance),
            2 => (100..3_000_u64).prop_map(RandomEvent::Advance),
            1 => (100..5_000_u64).prop_map(RandomEvent::Pause),
            2 => (1..=SHARDS, 1..=3_u32, 0..4_u32).prop_map(|(shards, replicas, first)| {
                RandomEvent::Map { shards, replicas, first }
            }),
            1 => Just(RandomEvent::MapRemoved),
            4 => (target.clone(), 1..4_u64)
                .prop_map(|(target, held)| RandomEvent::Held(target, held)),
            1 => target.clone().prop_map(RandomEvent::Draining),
            4 => target.clone().prop_map(RandomEvent::Reachable),
            2 => (target, 0..4_u32).prop_map(|(target, share)| RandomEvent::Share(target, share)),
            1 => (0..FINGERPRINTS, any::<bool>())
                .prop_map(|(fingerprint, held)| RandomEvent::Quarantine(fingerprint, held)),
            2 => pick.prop_map(RandomEvent::CallerDisconnected),
            1 => Just(RandomEvent::Stopping),
        ]
        .boxed()
    }

    fn apply(state: RunState, _: &RandomEvent) -> RunState {
        state
    }
}

fn submit() -> impl Strategy<Value = RandomEvent> {
    let execute = prop::option::weighted(0.3, 0..SHARDS);
    let time_left = prop::option::weighted(0.3, 0..2_000_u64);
    (0..4_usize, execute, 0..FINGERPRINTS, time_left).prop_map(
        |(account, execute, fingerprint, time_left)| RandomEvent::Submit {
            account,
            execute,
            fingerprint,
            time_left,
        },
    )
}
