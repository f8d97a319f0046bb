//! Reading and writing messages, with errors that name the step and the peer.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

/// A message that could not be read or written.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{step}, peer {peer}: {message}"))]
pub struct CodecError {
    /// The step, for instance `read leaf reply`.
    pub step: Box<str>,
    /// The peer that the message is from or for.
    pub peer: Box<str>,
    /// What the codec says.
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

/// Writes a JSON body.
///
/// # Errors
///
/// [`CodecError`] if the value has no JSON form.
pub fn to_json<T: Serialize>(step: &str, peer: &str, value: &T) -> Result<Vec<u8>, CodecError> {
    serde_json::to_vec(value).map_err(|error| CodecError::new(step, peer, &error))
}

/// Reads a JSON body.
///
/// # Errors
///
/// [`CodecError`] if the body is cut, malformed or of another type.
pub fn from_json<T: DeserializeOwned>(
    step: &str,
    peer: &str,
    body: &[u8],
) -> Result<T, CodecError> {
    serde_json::from_slice(body).map_err(|error| CodecError::new(step, peer, &error))
}

/// Writes a message between daemons. Fields are named, so that either end may be the newer one.
///
/// # Errors
///
/// [`CodecError`] if the value has no such form.
pub fn to_rmp<T: Serialize>(step: &str, peer: &str, value: &T) -> Result<Vec<u8>, CodecError> {
    rmp_serde::to_vec_named(value).map_err(|error| CodecError::new(step, peer, &error))
}

/// Reads a message between daemons.
///
/// # Errors
///
/// [`CodecError`] if the body is cut, malformed or of another type.
pub fn from_rmp<T: DeserializeOwned>(step: &str, peer: &str, body: &[u8]) -> Result<T, CodecError> {
    rmp_serde::from_slice(body).map_err(|error| CodecError::new(step, peer, &error))
}
