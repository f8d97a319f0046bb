//! Asks the targets of a new map which index versions they hold.
//!
//! No query can be pinned to a snapshot before that is known. See `docs/DESIGN.md`, "Snapshot".

use std::sync::Arc;

use actix::Addr;
use futures_util::StreamExt;
use yuccalift_core::event::{EngineEvent, TargetNews, TargetNewsKind};
use yuccalift_core::{ShardMap, TargetEntry};
use yuccalift_wire::codec::from_json;
use yuccalift_wire::leaf::LeafStatus;

use crate::lane::{EngineLane, FeedEngine};

/// How many targets are asked at once.
const PROBES_AT_ONCE: usize = 16;

/// Asks every target of a map once; one that does not answer tells its versions in a reply.
pub(crate) async fn probe_versions(lane: Addr<EngineLane>, map: Arc<ShardMap>) {
    let client = awc::Client::builder().disable_redirects().finish();
    let probes = map
        .targets
        .iter()
        .map(|entry| probe_version(&client, &lane, entry));
    futures_util::stream::iter(probes)
        .for_each_concurrent(PROBES_AT_ONCE, |probe| probe)
        .await;
}

async fn probe_version(client: &awc::Client, lane: &Addr<EngineLane>, entry: &TargetEntry) {
    let url = format!("http://{}/status", entry.address);
    let Ok(mut response) = client.get(url).send().await else {
        return;
    };
    let Ok(body) = response.body().await else {
        return;
    };
    let peer = entry.address.to_string();
    if let Ok(status) = from_json::<LeafStatus>("read leaf status", &peer, &body) {
        lane.do_send(FeedEngine(EngineEvent::TargetNews(TargetNews {
            target: entry.target,
            kind: TargetNewsKind::Held(status.held),
        })));
    }
}
