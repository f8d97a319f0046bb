//! Reads and watches the platform's configuration.

use std::net::SocketAddr;
use std::time::Duration;

use yuccalift_core::ids::ConfigVersion;
use yuccalift_wire::codec::{CodecError, from_json};
use yuccalift_wire::platform::ValueChanges;

/// How long one watch waits at the platform.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// How much longer than the watch the reader waits for its answer.
const WATCH_GRACE: Duration = Duration::from_secs(2);
/// The largest answer that is read, in bytes.
const ANSWER_LIMIT: usize = 64 * 1024 * 1024;

/// A call to the platform that failed.
#[derive(Debug, snafu::Snafu)]
pub(crate) enum PlatformError {
    /// The platform did not answer.
    #[snafu(display("watch values, peer {address}: {message}"))]
    Call {
        /// The platform's address.
        address: SocketAddr,
        /// What went wrong.
        message: Box<str>,
    },
    /// The answer could not be read.
    #[snafu(context(false), display("{source}"))]
    Read {
        /// What the codec says.
        source: CodecError,
    },
}

/// Waits for values that changed after a version.
pub(crate) async fn watch_values(
    client: &awc::Client,
    address: SocketAddr,
    after: ConfigVersion,
) -> Result<ValueChanges, PlatformError> {
    let wait_ms = WATCH_WAIT.as_millis();
    let url = format!("http://{address}/v1/values?after={after}&wait_ms={wait_ms}");
    let failed = |message: String| PlatformError::Call {
        address,
        message: message.into(),
    };
    let request = client.get(url).timeout(WATCH_WAIT + WATCH_GRACE);
    let mut response = request
        .send()
        .await
        .map_err(|error| failed(error.to_string()))?;
    if !response.status().is_success() {
        return Err(failed(format!("status {}", response.status())));
    }
    let body = response.body().limit(ANSWER_LIMIT).await;
    let body = body.map_err(|error| failed(error.to_string()))?;
    Ok(from_json("read values", &address.to_string(), &body)?)
}
