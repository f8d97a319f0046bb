//! HTTP/1 exchanges over single connections, and an HTTP/1 server.
//!
//! `awc` ends a body that is cut short of its content length without an error, and takes an answer
//! without a length for an empty one. A relay that forwards opaque bytes must detect both, so this
//! crate uses the codec beneath `awc` directly: [`ExchangeLink`] tells a complete answer from a
//! truncated one, and whether the connection may carry another request. See `docs/PLATFORM.md`,
//! "Libraries".

mod answer;
mod error;
mod link;
mod server;
mod socket;

pub use answer::ExchangeAnswer;
pub use error::ExchangeError;
pub use link::{ExchangeLink, OutgoingRequest};
pub use server::{ServeOptions, serve};
pub use socket::{LinkOptions, listen};
