//! `yuccaliftd`: the daemon on every entry host.

use std::path::Path;
use std::process::ExitCode;

use lexopt::prelude::{Long, Short, Value, ValueExt};
use tokio::signal::unix::{SignalKind, signal};
use yuccalift_daemon::{Daemon, SettingsFile, run_relay, start_logging};
use yuccalift_settings::DaemonSettings;

const HELP: &str = "\
yuccaliftd: the daemon of yuccalift, the same on every entry host

Usage: yuccaliftd [--check] [--relay] SETTINGS.yaml

Options:
  --relay        forward plain HTTP requests by the routes that the users' platform publishes
  --check        check the settings and exit
  -h, --help     print this text
  -V, --version  print the version

Exit status: 0 success, 1 failure, 2 invalid usage or settings.
SIGTERM and SIGINT start a graceful stop. SIGHUP makes a relay reload its settings,
which it also does periodically.
";

/// Exit status for invalid usage of the command line or invalid settings.
const EXIT_USAGE: u8 = 2;

/// Parsed command line.
enum Invocation {
    Help,
    Version,
    Run {
        file: String,
        check_only: bool,
        relay: bool,
    },
}

fn main() -> ExitCode {
    match parse_invocation(lexopt::Parser::from_env()) {
        Ok(Invocation::Help) => print_and_exit(HELP),
        Ok(Invocation::Version) => {
            print_and_exit(concat!("yuccaliftd ", env!("CARGO_PKG_VERSION"), "\n"))
        }
        Ok(Invocation::Run {
            file,
            check_only,
            relay: true,
        }) => start_relay(&file, check_only),
        Ok(Invocation::Run {
            file,
            check_only,
            relay: false,
        }) => start_daemon(&file, check_only),
        Err(error) => {
            eprintln!("yuccaliftd: {error}; see yuccaliftd --help");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn print_and_exit(text: &str) -> ExitCode {
    print!("{text}");
    ExitCode::SUCCESS
}

fn parse_invocation(mut parser: lexopt::Parser) -> Result<Invocation, lexopt::Error> {
    let mut file = None;
    let mut check_only = false;
    let mut relay = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Ok(Invocation::Help),
            Short('V') | Long("version") => return Ok(Invocation::Version),
            Long("check") => check_only = true,
            Long("relay") => relay = true,
            Value(value) if file.is_none() => file = Some(value.string()?),
            other => return Err(other.unexpected()),
        }
    }
    let file = file.ok_or("the settings file is missing")?;
    Ok(Invocation::Run {
        file,
        check_only,
        relay,
    })
}

fn start_daemon(file: &str, check_only: bool) -> ExitCode {
    let settings = match read_settings(file) {
        Ok(settings) => settings,
        Err(message) => {
            eprintln!("{message}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if check_only {
        return print_and_exit(&format!("{file}: valid settings of a daemon\n"));
    }
    match run_until_stopped(settings) {
        Ok(code) => code,
        Err(message) => {
            eprintln!("yuccaliftd: {message}");
            ExitCode::FAILURE
        }
    }
}

fn start_relay(file: &str, check_only: bool) -> ExitCode {
    let (settings_file, settings) = match SettingsFile::open(Path::new(file)) {
        Ok(read) => read,
        Err(message) => {
            eprintln!("yuccaliftd: {message}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if check_only {
        return print_and_exit(&format!("{file}: valid settings of a relay\n"));
    }
    let _log = start_logging(&settings.log);
    match run_relay(settings_file, settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("yuccaliftd: {error}");
            ExitCode::FAILURE
        }
    }
}

fn read_settings(file: &str) -> Result<DaemonSettings, String> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| format!("yuccaliftd: read settings, file {file}: {error}"))?;
    yuccalift_settings::parse_daemon(file, &text).map_err(|errors| errors.to_string())
}

fn run_until_stopped(settings: DaemonSettings) -> Result<ExitCode, String> {
    let _log = start_logging(&settings.log);
    let daemon = Daemon::start(settings).map_err(|error| error.to_string())?;
    let token = daemon.stop_token();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|error| format!("start signal watch: {error}"))?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(|error| error.to_string())?;
        tokio::select! {
            _ = terminate.recv() => token.cancel(),
            _ = interrupt.recv() => token.cancel(),
            () = token.cancelled() => {}
        }
        Ok::<(), String>(())
    })?;
    let report = daemon.join();
    Ok(if report.overdue.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
