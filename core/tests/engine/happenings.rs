//! What may happen to an engine in a random run, and how often.

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use yuccalift_core::PolicyKind;
use yuccalift_core::ids::{Fingerprint, IndexVersion, ShardId, TargetId};

/// The targets that any of the maps lists.
pub const TARGETS: u32 = 12;
pub const SHARDS: u32 = 4;
/// Fingerprints in use; few, so that quarantines meet requests.
pub const FINGERPRINTS: u64 = 6;

/// Something that happens to the engine; picks count modulo what there is.
#[derive(Clone, Copy, Debug)]
pub enum Happening {
    Submit {
        account: usize,
        execute: Option<ShardId>,
        fingerprint: Fingerprint,
        time_left: Option<u64>,
    },
    Reply(usize),
    WrongReply(usize, u8),
    Fail(usize, u8),
    Repeated(usize),
    Pass(u64),
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
    CallerGone(usize),
    Stopping,
}

/// What the generator has to know: which policy runs.
#[derive(Clone, Debug)]
pub struct RunState {
    pub policy: PolicyKind,
}

#[derive(Debug)]
pub struct HappeningMachine;

impl ReferenceStateMachine for HappeningMachine {
    type State = RunState;
    type Transition = Happening;

    fn init_state() -> BoxedStrategy<RunState> {
        prop_oneof![
            3 => Just(PolicyKind::Full),
            1 => Just(PolicyKind::Baseline),
        ]
        .prop_map(|policy| RunState { policy })
        .boxed()
    }

    fn transitions(_: &RunState) -> BoxedStrategy<Happening> {
        let pick = any::<prop::sample::Index>().prop_map(|index| index.index(1_000));
        let target = 0..TARGETS;
        prop_oneof![
            100 => submit(),
            220 => pick.clone().prop_map(Happening::Reply),
            6 => (pick.clone(), 0..5_u8).prop_map(|(pick, kind)| Happening::WrongReply(pick, kind)),
            20 => (pick.clone(), 0..10_u8).prop_map(|(pick, kind)| Happening::Fail(pick, kind)),
            6 => pick.clone().prop_map(Happening::Repeated),
            100 => (0..10_u64).prop_map(Happening::Pass),
            2 => (100..3_000_u64).prop_map(Happening::Pass),
            1 => (100..5_000_u64).prop_map(Happening::Pause),
            2 => (1..=SHARDS, 1..=3_u32, 0..4_u32).prop_map(|(shards, replicas, first)| {
                Happening::Map { shards, replicas, first }
            }),
            1 => Just(Happening::MapRemoved),
            4 => (target.clone(), 1..4_u64).prop_map(|(target, held)| Happening::Held(target, held)),
            1 => target.clone().prop_map(Happening::Draining),
            4 => target.clone().prop_map(Happening::Reachable),
            2 => (target, 0..4_u32).prop_map(|(target, share)| Happening::Share(target, share)),
            1 => (0..FINGERPRINTS, any::<bool>())
                .prop_map(|(fingerprint, held)| Happening::Quarantine(fingerprint, held)),
            2 => pick.prop_map(Happening::CallerGone),
            1 => Just(Happening::Stopping),
        ]
        .boxed()
    }

    fn apply(state: RunState, _: &Happening) -> RunState {
        state
    }
}

fn submit() -> impl Strategy<Value = Happening> {
    let execute = prop::option::weighted(0.3, 0..SHARDS);
    let time_left = prop::option::weighted(0.3, 0..2_000_u64);
    (0..4_usize, execute, 0..FINGERPRINTS, time_left).prop_map(
        |(account, execute, fingerprint, time_left)| Happening::Submit {
            account,
            execute,
            fingerprint,
            time_left,
        },
    )
}
