//! HTTP/1 exchanges over single connections, and an HTTP/1 server.
//!
//! `awc` reports no error for a body that ends before its content length, and takes an answer
//! without a length for an empty one. A relay that forwards opaque bytes must detect both, so this
//! crate uses the codec beneath `awc` directly: [`ExchangeLink`] distinguishes complete answers from
//! truncated ones, and determines whether the connection may carry another request. See
//! `docs/PLATFORM.md`, "Libraries".

mod answer;
mod answer_buffer;
mod connection_state;
mod error;
mod held_body;
mod holder;
mod leased_bytes;
mod link;
mod memory_account;
mod metered_stream;
mod served_stream;
mod server;
mod socket;
mod transfer_progress;
mod turn_stream;

pub use answer::ExchangeAnswer;
pub use error::ExchangeError;
pub use held_body::hold_with_body;
pub use link::{AnswerOwner, ExchangeLink, OutgoingRequest};
pub use memory_account::{AccountCounts, BodyLease, account_counts, set_memory_limit};
pub use server::{LIBRARY_HEAD_BYTES, ServeOptions, StopTokens, serve};
pub use socket::{LinkOptions, listen, set_outgoing_address};
pub use transfer_progress::{TransferLimit, TransferProgress};
