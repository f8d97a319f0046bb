//! One HTTP/1 exchange over one connection, and the serving of them.
//!
//! `awc` ends a body that is cut at its content length without an error, and takes an answer
//! without a length for an empty one; a relay that passes opaque bytes on must know better. So the
//! codec beneath it is used directly: [`ExchangeLink`] tells a whole answer from a cut one, and
//! whether the connection may carry another request. See `docs/PLATFORM.md`, "Libraries".

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
