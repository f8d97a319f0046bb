//! The control plane of one daemon, free of I/O: configuration, membership, announcements and
//! connection shares.
//!
//! - [`config_delta`], [`config_store`]: published configuration and how daemons pass it on.
//! - [`store_change`]: what changes of the configuration a daemon must act on.
//! - [`store_position`]: the order of changes, also after the platform was restored.
//! - [`member_record`], [`member_table`], [`contact_table`]: the other daemons.
//! - [`announcements`]: information that spreads by gossip and expires.
//! - [`fleet_bounds`], [`connection_share`]: how many connections this daemon may hold.
//! - [`reader_election`], [`call_budget`], [`reader_heartbeat`]: which daemons read the platform,
//!   and how often.
//! - [`knowledge_age`]: how old this daemon's knowledge of the platform is.
//! - [`packed_value`]: the compressed form of a long value.
//! - [`exchange`]: the message that daemons exchange.
//! - [`event`], [`node`]: input and output of the control plane, and its state machine.
//!
//! See `docs/DESIGN.md`, "Configuration" and "Membership".

pub mod announcements;
pub mod call_budget;
pub mod config_delta;
pub mod config_store;
pub mod connection_share;
pub mod contact_table;
pub mod event;
pub mod exchange;
pub mod fleet_bounds;
pub mod knowledge_age;
pub mod member_record;
pub mod member_table;
pub mod node;
pub mod packed_value;
pub mod reader_election;
pub mod reader_heartbeat;
pub mod store_change;
pub mod store_position;
mod stored_entry;

pub use announcements::{AnnouncementKind, AnnouncementRecord, AnnouncementTable};
pub use call_budget::CallBudget;
pub use config_delta::{
    ConfigDelta, ConfigValue, DeltaContent, DeltaEntry, DeltaFormat, ValuePatch,
};
pub use config_store::{ConfigStore, RefusedValue, StoreChange, ValueCheck, ValueRank, WriterRank};
pub use connection_share::{DaemonLocation, connection_shares};
pub use contact_table::ContactTable;
pub use event::{ControlAction, ControlEvent, ControlNotice, ListedHost};
pub use exchange::{ConfigDigest, ExchangeMessage, ExchangeWants};
pub use fleet_bounds::FleetBounds;
pub use knowledge_age::{KnowledgeAge, KnowledgeChange};
pub use member_record::{MemberRecord, MemberState};
pub use member_table::MemberTable;
pub use node::{ControlNode, ControlSettings, HostConflictPolicy, ReadSettings};
pub use packed_value::PackedValue;
pub use reader_heartbeat::{HeartbeatTable, ReaderHeartbeat};
pub use store_position::StorePosition;
