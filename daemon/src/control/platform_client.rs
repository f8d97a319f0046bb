//! Client for reads of the platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use awc::Client;
use serde::de::DeserializeOwned;
use yuccalift_core::control::{ConfigValue, ListedHost};
use yuccalift_core::ids::{ConfigVersion, HostName};
use yuccalift_wire::codec::from_json;
use yuccalift_wire::platform::{HostEntry, HostList, HostState, PublishedValue, ValueChanges};

use super::control_traffic::ControlTraffic;

/// Time that a call may take beyond its requested wait.
const CALL_GRACE: Duration = Duration::from_secs(2);
/// Maximum size of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Failure of a read of the platform.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("read platform, peer {platform}: {message}"))]
pub(crate) struct PlatformError {
    platform: SocketAddr,
    message: Box<str>,
}

/// Reads the changes after a version, waiting up to `wait` for one.
pub(crate) async fn read_values(
    client: Client,
    platform: SocketAddr,
    after: ConfigVersion,
    wait: Duration,
    traffic: &ControlTraffic,
) -> Result<(ConfigVersion, Vec<ConfigValue>), PlatformError> {
    let wait_ms = wait.as_millis();
    let path = format!("/v1/values?after={after}&wait_ms={wait_ms}");
    let changes: ValueChanges = read(client, platform, &path, wait, traffic).await?;
    let values = changes.changes.into_iter().map(config_value).collect();
    Ok((changes.version, values))
}

pub(crate) async fn read_hosts(
    client: Client,
    platform: SocketAddr,
    traffic: &ControlTraffic,
) -> Result<HostList, PlatformError> {
    read(client, platform, "/v1/hosts", Duration::ZERO, traffic).await
}

/// Returns the entry hosts of a list, except those with an invalid address.
pub(crate) fn listed_hosts(list: &HostList) -> Vec<ListedHost> {
    list.entry_hosts.iter().filter_map(listed_host).collect()
}

/// Returns the target hosts that are listed as leaving.
pub(crate) fn leaving_hosts(list: &HostList) -> Vec<HostName> {
    let leaving = list
        .target_hosts
        .iter()
        .filter(|entry| entry.state == HostState::Leaving);
    leaving.map(|entry| entry.host.clone()).collect()
}

async fn read<T: DeserializeOwned>(
    client: Client,
    platform: SocketAddr,
    path: &str,
    wait: Duration,
    traffic: &ControlTraffic,
) -> Result<T, PlatformError> {
    let fail = |message: String| PlatformError {
        platform,
        message: message.into(),
    };
    traffic.count_platform_call();
    let request = client
        .get(format!("http://{platform}{path}"))
        .timeout(wait + CALL_GRACE);
    let sent = request.send().await;
    let mut response = sent.map_err(|error| fail(error.to_string()))?;
    if !response.status().is_success() {
        return Err(fail(format!("status {}", response.status())));
    }
    let body = response.body().limit(MAX_ANSWER_BYTES).await;
    let body = body.map_err(|error| fail(error.to_string()))?;
    traffic.count_received(body.len());
    let name = platform.to_string();
    from_json("read platform", &name, &body).map_err(|error| fail(error.to_string()))
}

fn config_value(published: PublishedValue) -> ConfigValue {
    ConfigValue {
        key: published.key,
        version: published.version,
        value: published.value.map(Arc::from),
    }
}

fn listed_host(entry: &HostEntry) -> Option<ListedHost> {
    Some(ListedHost {
        host: entry.host.clone(),
        data_centre: entry.data_centre.clone(),
        address: entry.peer_address.parse().ok()?,
    })
}
