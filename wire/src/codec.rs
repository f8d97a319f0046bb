//! Encoding and decoding of messages, with errors that name the step and the peer.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

/// A message could not be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{step}, peer {peer}: {message}"))]
pub struct CodecError {
    /// Step that failed, for instance `read leaf reply`.
    pub step: Box<str>,
    /// Sender or receiver of the message.
    pub peer: Box<str>,
    /// Error text of the underlying codec.
    pub message: Box<str>,
}

impl CodecError {
    fn new(step: &str, peer: &str, cause: &dyn std::error::Error) -> Self {
        Self {
            step: step.into(),
            peer: peer.into(),
            message: cause.to_string().into(),
        }
    }
}

/// Encodes a value as a JSON body.
///
/// # Errors
///
/// [`CodecError`] if the value has no JSON representation.
pub fn to_json<T: Serialize>(step: &str, peer: &str, value: &T) -> Result<Vec<u8>, CodecError> {
    serde_json::to_vec(value).map_err(|error| CodecError::new(step, peer, &error))
}

/// Decodes a JSON body.
///
/// # Errors
///
/// [`CodecError`] if the body is truncated, malformed or of another type.
pub fn from_json<T: DeserializeOwned>(
    step: &str,
    peer: &str,
    body: &[u8],
) -> Result<T, CodecError> {
    serde_json::from_slice(body).map_err(|error| CodecError::new(step, peer, &error))
}

/// Encodes a message between daemons with `rmp-serde`. Fields are written by name, so that either
/// daemon may run a newer version with additional fields.
///
/// # Errors
///
/// [`CodecError`] if the value has no `rmp-serde` representation.
pub fn to_rmp<T: Serialize>(step: &str, peer: &str, value: &T) -> Result<Vec<u8>, CodecError> {
    rmp_serde::to_vec_named(value).map_err(|error| CodecError::new(step, peer, &error))
}

/// Decodes an `rmp-serde` message from another daemon.
///
/// # Errors
///
/// [`CodecError`] if the body is truncated, malformed or of another type.
pub fn from_rmp<T: DeserializeOwned>(step: &str, peer: &str, body: &[u8]) -> Result<T, CodecError> {
    rmp_serde::from_slice(body).map_err(|error| CodecError::new(step, peer, &error))
}
