//! Processes for tests over several of them.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// How long a test waits for what must happen.
pub const PATIENCE: Duration = Duration::from_secs(20);
/// How often a test looks again.
pub const POLL: Duration = Duration::from_millis(20);

/// A process that is killed when the test is done with it.
pub struct TestProcess {
    child: Child,
    lines: Receiver<String>,
}

/// Which of its outputs a test reads.
#[derive(Clone, Copy)]
pub enum ReadOutput {
    /// Standard output.
    Out,
    /// Standard error.
    Err,
}

impl TestProcess {
    /// Starts a program.
    pub fn start(program: &Path, arguments: &[&str], output: ReadOutput) -> Self {
        let mut command = Command::new(program);
        command.args(arguments).stdin(Stdio::null());
        match output {
            ReadOutput::Out => command.stdout(Stdio::piped()),
            ReadOutput::Err => command.stderr(Stdio::piped()),
        };
        let mut child = command.spawn().expect("the program starts");
        let lines = match output {
            ReadOutput::Out => read_lines(child.stdout.take()),
            ReadOutput::Err => read_lines(child.stderr.take()),
        };
        Self { child, lines }
    }

    /// Waits for a line that says something, and returns it.
    pub fn line_with(&self, said: &str) -> String {
        let end = Instant::now() + PATIENCE;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            let line = self.lines.recv_timeout(left);
            let line = line.unwrap_or_else(|_| panic!("a line with {said:?} comes in time"));
            if line.contains(said) {
                return line;
            }
        }
    }

    /// Waits for the end.
    pub fn wait(&mut self) -> ExitStatus {
        let end = Instant::now() + PATIENCE;
        loop {
            if let Some(status) = self.child.try_wait().expect("the process is a child") {
                return status;
            }
            assert!(Instant::now() < end, "the process ends in time");
            std::thread::sleep(POLL);
        }
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        let _already_ended = self.child.kill();
        let _reaped = self.child.wait();
    }
}

fn read_lines(output: Option<impl std::io::Read + Send + 'static>) -> Receiver<String> {
    let (sender, receiver) = channel();
    let output = output.expect("the output is piped");
    std::thread::spawn(move || {
        for line in BufReader::new(output).lines() {
            let Ok(line) = line else { return };
            if sender.send(line).is_err() {
                return;
            }
        }
    });
    receiver
}

/// The `yuccalift` binary.
pub fn yuccalift() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_yuccalift"))
}

/// The `yuccaliftd` binary beside it. A test of the workspace has built it by now; it is of another
/// package, so that a test of this package alone builds it where it is missing.
pub fn yuccaliftd() -> PathBuf {
    let path = yuccalift().with_file_name("yuccaliftd");
    if !path.exists() {
        build_daemon(&path);
    }
    path
}

fn build_daemon(path: &Path) {
    let target = path
        .parent()
        .and_then(Path::parent)
        .expect("a target directory");
    let status = Command::new(env!("CARGO"))
        .args([
            "build",
            "--locked",
            "--package",
            "yuccalift-daemon",
            "--bin",
            "yuccaliftd",
        ])
        .arg("--target-dir")
        .arg(target)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .status()
        .expect("cargo runs");
    assert!(status.success(), "the daemon is built");
}
