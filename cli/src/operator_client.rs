//! Client for the operator listener of a daemon.

use std::net::SocketAddr;
use std::time::Duration;

use awc::http::Method;
use lexopt::prelude::{Long, Short, Value, ValueExt};
use yuccalift_core::Refusal;
use yuccalift_wire::codec::from_json;
use yuccalift_wire::operator::KEY_HEADER;

use crate::error::CommandError;
use crate::input::read_file;

/// Environment variable that holds the shared key.
pub const KEY_VARIABLE: &str = "YUCCALIFT_KEY";

/// Maximum time to wait for the daemon's response.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of a response body; a larger one is an error.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Help on the arguments that all commands for a running daemon have in common.
pub const OPERATOR_HELP: &str = "\
ADDR is IP:PORT of the daemon's operator listener. The shared key is read from a file or from the
environment variable YUCCALIFT_KEY, never from the command line, which other users can see.
";

/// Client for one daemon, configured by the command line of a subcommand.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    /// Address of the daemon's operator listener.
    pub address: SocketAddr,
    /// Shared key that authenticates the operator.
    pub key: Box<str>,
    /// Whether `--json` was given.
    pub json: bool,
}

impl OperatorClient {
    /// Creates a client from the command line and the shared key. Returns `None` if help was
    /// requested.
    ///
    /// `--json` is accepted only if `allows_json` is `true`.
    ///
    /// # Errors
    ///
    /// [`CommandError`] if the command line is invalid or the key can't be read.
    pub fn from_command_line(
        mut parser: lexopt::Parser,
        allows_json: bool,
    ) -> Result<Option<Self>, CommandError> {
        let mut address = None;
        let mut key_file = None;
        let mut json = false;
        while let Some(argument) = parser.next()? {
            match argument {
                Short('h') | Long("help") => return Ok(None),
                Long("json") if allows_json => json = true,
                Long("key-file") => key_file = Some(parser.value()?.string()?),
                Value(value) if address.is_none() => address = Some(value.parse()?),
                other => return Err(other.unexpected().into()),
            }
        }
        let address = address.ok_or_else(|| usage_error("the daemon's address is missing"))?;
        let key = read_key(key_file.as_deref())?;
        Ok(Some(Self { address, key, json }))
    }

    /// Sends a request to the daemon and returns the body of the response.
    ///
    /// # Errors
    ///
    /// [`CommandError::Failed`] if the daemon does not answer or refuses the request.
    pub fn send(&self, step: &str, method: Method, path: &str) -> Result<Vec<u8>, CommandError> {
        actix_rt::System::new().block_on(self.send_request(step, method, path))
    }

    /// Returns the step with the daemon's address, for use in error messages.
    pub fn step_with_peer(&self, step: &str) -> String {
        format!("{step}, peer {}", self.address)
    }

    async fn send_request(
        &self,
        step: &str,
        method: Method,
        path: &str,
    ) -> Result<Vec<u8>, CommandError> {
        let request = awc::Client::default()
            .request(method, format!("http://{}{path}", self.address))
            .insert_header((KEY_HEADER, self.key.as_ref()))
            .timeout(CALL_TIMEOUT);
        let mut response = request
            .send()
            .await
            .map_err(|error| CommandError::failed(self.step_with_peer(step), &error))?;
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|error| CommandError::failed(self.step_with_peer(step), &error))?;
        if response.status().is_success() {
            return Ok(body.to_vec());
        }
        let peer = self.address.to_string();
        let message = match from_json::<Refusal>("read refusal", &peer, &body) {
            Ok(refusal) => refusal.to_string(),
            Err(_not_a_refusal) => format!("status {}", response.status()),
        };
        Err(CommandError::failed(self.step_with_peer(step), &message))
    }
}

fn read_key(key_file: Option<&str>) -> Result<Box<str>, CommandError> {
    let key = match key_file {
        Some(file) => read_file(file)?,
        None => std::env::var(KEY_VARIABLE).map_err(|_unset| {
            usage_error("the shared key is missing: give --key-file or YUCCALIFT_KEY")
        })?,
    };
    Ok(key.trim_end().into())
}

fn usage_error(message: &'static str) -> CommandError {
    lexopt::Error::from(message).into()
}
