//! `yuccalift status`: shows the status of a daemon.

use std::fmt::Write as _;

use awc::http::Method;
use yuccalift_wire::codec::from_json;
use yuccalift_wire::operator::StatusReport;

use crate::error::CommandError;
use crate::operator_client::{OPERATOR_HELP, OperatorClient};
use crate::table::TextTable;

const HELP: &str = "\
yuccalift status: show the status of a daemon

Usage: yuccalift status ADDR [--json] [--key-file FILE]

Shows the configuration version, peers, targets with their state and current limits, queues and
quarantines.

Options:
  --json           print the report as JSON
  --key-file FILE  read the shared key from FILE
  -h, --help       print this text

Exit status: 0 success, 1 the call failed or was refused, 2 invalid usage.
";

/// Runs the subcommand.
///
/// # Errors
///
/// [`CommandError::Failed`] if the daemon does not answer or refuses the request.
pub fn run(parser: lexopt::Parser) -> Result<(), CommandError> {
    let Some(client) = OperatorClient::from_command_line(parser, true)? else {
        print!("{HELP}\n{OPERATOR_HELP}");
        return Ok(());
    };
    let body = client.send("status", Method::GET, "/v1/status")?;
    let peer = client.address.to_string();
    let report: StatusReport = from_json("read status", &peer, &body)
        .map_err(|error| CommandError::failed(client.step_with_peer("status"), &error))?;
    if client.json {
        println!("{}", String::from_utf8_lossy(&body));
    } else {
        print!("{}", render(&report));
    }
    Ok(())
}

fn render(report: &StatusReport) -> String {
    let mut text = render_summary(report);
    text.push_str(&render_peers(report));
    text.push_str(&render_targets(report));
    text.push_str(&render_quarantines(report));
    for value in &report.refused_values {
        let _infallible = writeln!(text, "\nrefused value: {value}");
    }
    text
}

fn render_summary(report: &StatusReport) -> String {
    let state = match (report.stopping, report.ready) {
        (true, _) => "stopping",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    let [urgent, normal, patient] = report.waiting;
    let control = report.control;
    format!(
        "host {} in {}, incarnation {}, {state}\n\
         configuration version {}, {} refused values\n\
         {} running; waiting: {urgent} urgent, {normal} normal, {patient} patient\n\
         control: {} messages sent, {} bytes, {} platform calls\n",
        report.host,
        report.data_centre,
        report.incarnation,
        report.config_version,
        report.refused_values.len(),
        report.running,
        control.messages_sent,
        control.bytes,
        control.platform_calls,
    )
}

fn render_peers(report: &StatusReport) -> String {
    let mut table = TextTable::new([
        "PEER",
        "DATA CENTRE",
        "STATE",
        "CONFIGURATION",
        "INCARNATION",
    ]);
    for peer in &report.peers {
        table.add([
            peer.host.to_string(),
            peer.data_centre.to_string(),
            peer.state.to_string(),
            peer.config_version.to_string(),
            peer.incarnation.to_string(),
        ]);
    }
    render_section(&table, report.peers.len(), "peers")
}

fn render_targets(report: &StatusReport) -> String {
    let header = [
        "TARGET",
        "STATE",
        "IN FLIGHT",
        "LIMIT",
        "CONNECTIONS",
        "LATENCY MS",
    ];
    let mut table = TextTable::new(header);
    for target in &report.targets {
        table.add([
            target.target.to_string(),
            target.state.to_string(),
            target.in_flight.to_string(),
            target.limit.to_string(),
            target.connections.to_string(),
            format!("{:.1}", target.latency_ms),
        ]);
    }
    render_section(&table, report.targets.len(), "targets")
}

fn render_quarantines(report: &StatusReport) -> String {
    let mut table = TextTable::new(["QUARANTINED", "LEFT MS"]);
    for quarantine in &report.quarantines {
        table.add([
            quarantine.fingerprint.to_string(),
            quarantine.left_ms.to_string(),
        ]);
    }
    render_section(&table, report.quarantines.len(), "quarantines")
}

fn render_section(table: &TextTable, rows: usize, name: &str) -> String {
    if rows == 0 {
        return format!("\nno {name}\n");
    }
    format!("\n{}", table.render())
}
