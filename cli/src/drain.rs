//! `yuccalift drain`: starts the graceful stop of a daemon.

use awc::http::Method;

use crate::error::CommandError;
use crate::operator_client::{OPERATOR_HELP, OperatorClient};

const HELP: &str = "\
yuccalift drain: start the graceful stop of a daemon

Usage: yuccalift drain ADDR [--key-file FILE]

The daemon reports that it is not ready, finishes its requests and exits. The command does not wait
for that.

Options:
  --key-file FILE  read the shared key from FILE
  -h, --help       print this text

Exit status: 0 the stop has started, 1 the call failed or was refused, 2 invalid usage.
";

/// Runs the subcommand.
///
/// # Errors
///
/// [`CommandError::Failed`] if the daemon does not answer or refuses the request.
pub fn run(parser: lexopt::Parser) -> Result<(), CommandError> {
    let Some(client) = OperatorClient::from_command_line(parser, false)? else {
        print!("{HELP}\n{OPERATOR_HELP}");
        return Ok(());
    };
    client.send("drain", Method::POST, "/v1/drain")?;
    println!("{}: graceful stop started", client.address);
    Ok(())
}
