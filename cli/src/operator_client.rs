//! Calls to a daemon's operators' listener.

use std::net::SocketAddr;
use std::time::Duration;

use awc::http::Method;
use lexopt::prelude::{Long, Short, Value, ValueExt};
use yuccalift_core::Refusal;
use yuccalift_wire::codec::from_json;
use yuccalift_wire::operator::KEY_HEADER;

use crate::error::CommandError;
use crate::input::read_file;

/// The environment variable that holds the shared key.
pub const KEY_VARIABLE: &str = "YUCCALIFT_KEY";

/// How long a daemon may take to answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The largest answer that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// The help of the options that all such commands have.
pub const OPERATOR_HELP: &str = "\
ADDR is IP:PORT of the daemon's operators' listener. The shared key is read from a file or from the
environment variable YUCCALIFT_KEY, never from the command line, which others can see.
";

/// What the command line of an operator's command says.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    /// The daemon's operators' listener.
    pub address: SocketAddr,
    /// The shared key.
    pub key: Box<str>,
    /// Whether `--json` was given.
    pub json: bool,
}

impl OperatorClient {
    /// Reads the command line; none where the help was asked for.
    ///
    /// # Errors
    ///
    /// [`CommandError`] if the command line cannot be understood or the key cannot be read.
    pub fn read(mut parser: lexopt::Parser, has_json: bool) -> Result<Option<Self>, CommandError> {
        let mut address = None;
        let mut key_file = None;
        let mut json = false;
        while let Some(argument) = parser.next()? {
            match argument {
                Short('h') | Long("help") => return Ok(None),
                Long("json") if has_json => json = true,
                Long("key-file") => key_file = Some(parser.value()?.string()?),
                Value(value) if address.is_none() => address = Some(value.parse()?),
                other => return Err(other.unexpected().into()),
            }
        }
        let address = address.ok_or_else(|| usage_error("the daemon's address is missing"))?;
        let key = read_key(key_file.as_deref())?;
        Ok(Some(Self { address, key, json }))
    }

    /// Calls the daemon and reads the body of its answer.
    ///
    /// # Errors
    ///
    /// [`CommandError::Failed`] if there is no answer or a refusal.
    pub fn send(&self, step: &str, method: Method, path: &str) -> Result<Vec<u8>, CommandError> {
        actix_rt::System::new().block_on(self.send_request(step, method, path))
    }

    /// The step with the daemon's address, as errors name it.
    pub fn step(&self, step: &str) -> String {
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
            .map_err(|error| CommandError::failed(self.step(step), &error))?;
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|error| CommandError::failed(self.step(step), &error))?;
        if response.status().is_success() {
            return Ok(body.to_vec());
        }
        let peer = self.address.to_string();
        let message = match from_json::<Refusal>("read refusal", &peer, &body) {
            Ok(refusal) => refusal.to_string(),
            Err(_not_a_refusal) => format!("status {}", response.status()),
        };
        Err(CommandError::failed(self.step(step), &message))
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
