//! `yuccalift where`: asks a relay where a request would be sent now, and why.

use std::net::SocketAddr;
use std::time::Duration;

use lexopt::prelude::{Long, Short, Value, ValueExt};
use yuccalift_core::relay::RequestExplanation;
use yuccalift_core::relay::explanation::{
    ExplainedChoice, ExplainedOutcome, ServiceExplanation, TargetExplanation,
};
use yuccalift_wire::codec::from_json;

use crate::error::CommandError;
use crate::table::TextTable;

const HELP: &str = "\
yuccalift where: ask a relay where a request would be sent now, and why

Usage: yuccalift where ADDR --host HOST --path PATH [--json]

ADDR is IP:PORT of the relay's metrics listener. Nothing is sent to a target. The request is taken
to have all the time that its route permits and not to be quarantined.

Options:
  --host HOST  host that the request names
  --path PATH  path of the request
  --json       print the explanation as JSON
  -h, --help   print this text

Exit status: 0 success, 1 the call failed, 2 invalid usage.
";

/// Maximum time to wait for the relay's response.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a response body; a larger one is an error.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Runs the subcommand.
///
/// # Errors
///
/// [`CommandError::Failed`] if the relay does not answer or refuses the call.
pub fn run(mut parser: lexopt::Parser) -> Result<(), CommandError> {
    let mut address: Option<SocketAddr> = None;
    let mut host = None;
    let mut path = None;
    let mut json = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => {
                print!("{HELP}");
                return Ok(());
            }
            Long("json") => json = true,
            Long("host") => host = Some(parser.value()?.string()?),
            Long("path") => path = Some(parser.value()?.string()?),
            Value(value) if address.is_none() => address = Some(value.parse()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let (Some(address), Some(host), Some(path)) = (address, host, path) else {
        let message = "where: the address, --host and --path are required";
        return Err(lexopt::Error::from(message).into());
    };
    let step = format!("where, peer {address}");
    let body = actix_rt::System::new().block_on(fetch(&step, address, &host, &path))?;
    let peer = address.to_string();
    let explanation: RequestExplanation = from_json("read explanation", &peer, &body)
        .map_err(|error| CommandError::failed(step, &error))?;
    if json {
        println!("{}", String::from_utf8_lossy(&body));
    } else {
        print!("{}", render(&explanation));
    }
    Ok(())
}

async fn fetch(
    step: &str,
    address: SocketAddr,
    host: &str,
    path: &str,
) -> Result<Vec<u8>, CommandError> {
    let request = awc::Client::default()
        .get(format!("http://{address}/explain"))
        .timeout(CALL_TIMEOUT)
        .query(&[("host", host), ("path", path)])
        .map_err(|error| CommandError::failed(step, &error))?;
    let mut response = request
        .send()
        .await
        .map_err(|error| CommandError::failed(step, &error))?;
    let body = response.body().limit(MAX_RESPONSE_BYTES).await;
    let body = body.map_err(|error| CommandError::failed(step, &error))?;
    if response.status().is_success() {
        return Ok(body.to_vec());
    }
    let text = String::from_utf8_lossy(&body);
    let message = format!("status {}: {}", response.status(), text.trim_end());
    Err(CommandError::failed(step, &message))
}

fn render(explanation: &RequestExplanation) -> String {
    let version = explanation.version;
    let route = explanation.route.as_deref().unwrap_or("none");
    let outcome = outcome_text(&explanation.outcome);
    let mut text = format!("route {route}, version {version}: {outcome}\n");
    for service in &explanation.services {
        text.push_str(&render_service(service));
    }
    text
}

fn outcome_text(outcome: &ExplainedOutcome) -> String {
    match outcome {
        ExplainedOutcome::NoRoute => "no route serves the request".to_owned(),
        ExplainedOutcome::Sent => "the request would be sent".to_owned(),
        ExplainedOutcome::Forwarded { peer } => {
            format!("the request would be forwarded to peer {peer}, since no target is reached")
        }
        ExplainedOutcome::Waits { retry_after_ms } => format!(
            "the request would wait for capacity; if there is none soon, it is refused, with \
             Retry-After {retry_after_ms} ms"
        ),
        ExplainedOutcome::Refused {
            cause,
            retry_after_ms,
        } => format!(
            "the request would be refused, cause {cause}, with Retry-After {retry_after_ms} ms"
        ),
    }
}

fn render_service(service: &ServiceExplanation) -> String {
    let choice = match &service.choice {
        ExplainedChoice::Target(name) => format!("target {name}"),
        ExplainedChoice::Wait => "all usable targets are at their limit".to_owned(),
        ExplainedChoice::Unavailable {
            usable_in_ms: Some(time),
        } => format!("no usable target for {time} ms"),
        ExplainedChoice::Unavailable { usable_in_ms: None } => "no usable target".to_owned(),
    };
    let next = if service.is_next {
        ""
    } else {
        ", not the next of the split"
    };
    let mut table = TextTable::new([
        "TARGET",
        "DATA CENTRE",
        "STATE",
        "IN FLIGHT",
        "LOAD",
        "SCORE",
        "",
    ]);
    for target in &service.targets {
        let is_chosen = service.choice == ExplainedChoice::Target(target.name.clone());
        table.add([
            target.name.to_string(),
            target.data_centre.to_string(),
            state_text(target),
            format!("{} of {}", target.in_flight, target.limit),
            target
                .reported_load
                .map_or_else(|| "-".to_owned(), |load| format!("{load:.2}")),
            format!("{:.2}", target.score),
            if is_chosen { "chosen" } else { "" }.to_owned(),
        ]);
    }
    format!(
        "\nservice {}: {choice}{next}\n{}",
        service.name,
        table.render()
    )
}

fn state_text(target: &TargetExplanation) -> String {
    let mut states = vec![target.listing.to_string()];
    if !target.is_reachable {
        states.push("unreachable".to_owned());
    }
    if let Some(time) = target.suspended_ms {
        states.push(format!("suspended for {time} ms"));
    }
    if let Some(reason) = &target.held_by {
        let until = target
            .held_ms
            .map_or_else(String::new, |time| format!(" for {time} ms"));
        states.push(format!("held{until}: {reason}"));
    }
    states.join(", ")
}
