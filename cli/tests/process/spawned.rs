//! Child processes of tests, and the lines that they print.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::LazyLock;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// Maximum duration of a test step; generous enough for a busy machine.
pub const STEP_LIMIT: Duration = Duration::from_secs(20);
/// Time between two checks of a condition.
pub const POLL_PERIOD: Duration = Duration::from_millis(20);

/// A child process that is killed on drop.
pub struct TestProcess {
    child: Child,
    lines: Receiver<String>,
}

impl TestProcess {
    /// Starts `yuccalift` and captures its standard output.
    pub fn yuccalift(arguments: &[&str]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_yuccalift"));
        command.args(arguments).stdout(Stdio::piped());
        let mut child = command.spawn().expect("yuccalift starts");
        let stdout = child.stdout.take().expect("standard output is piped");
        let lines = read_lines(stdout);
        Self { child, lines }
    }

    /// Starts `yuccaliftd` with a settings file and captures its log.
    pub fn yuccaliftd(settings: &Path) -> Self {
        let mut command = Command::new(yuccaliftd());
        command.arg(settings).stdout(Stdio::piped());
        let mut child = command.spawn().expect("yuccaliftd starts");
        let stdout = child.stdout.take().expect("standard output is piped");
        let lines = read_lines(stdout);
        Self { child, lines }
    }

    /// Waits for a line that `select` accepts, and returns the selected value.
    pub fn wait_line<T>(&self, select: impl Fn(&str) -> Option<T>) -> T {
        let deadline = Instant::now() + STEP_LIMIT;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let line = self.lines.recv_timeout(remaining);
            let line =
                line.expect("the line is printed before the process exits and within STEP_LIMIT");
            if let Some(found) = select(&line) {
                return found;
            }
        }
    }

    /// Waits for a line with a prefix, and returns the address after the prefix.
    pub fn wait_address(&self, prefix: &str) -> SocketAddr {
        self.wait_line(|line| line.strip_prefix(prefix)?.trim().parse().ok())
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([signal, &id]).status();
        assert!(
            status.is_ok_and(|status| status.success()),
            "{signal} is sent to {id}"
        );
    }

    /// Waits until the process exits, and returns its status.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let deadline = Instant::now() + STEP_LIMIT;
        loop {
            if let Some(status) = self
                .child
                .try_wait()
                .expect("the status of the process is available")
            {
                return status;
            }
            assert!(
                Instant::now() < deadline,
                "the process exits within STEP_LIMIT"
            );
            std::thread::sleep(POLL_PERIOD);
        }
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        let _already_exited = self.child.kill();
        let _already_exited = self.child.wait();
    }
}

/// Returns the path of the `yuccaliftd` binary, which is in the same folder as `yuccalift`.
///
/// The binary belongs to another package, so `cargo test` on this package alone does not build it,
/// and a test could run an outdated binary from an earlier build. It is therefore built once before
/// the first use; after a build of the whole workspace this does nothing.
pub fn yuccaliftd() -> &'static Path {
    static PROGRAM: LazyLock<PathBuf> = LazyLock::new(|| {
        let path = Path::new(env!("CARGO_BIN_EXE_yuccalift")).with_file_name("yuccaliftd");
        build_daemon(&path);
        path
    });
    &PROGRAM
}

fn build_daemon(path: &Path) {
    let target = path
        .parent()
        .and_then(Path::parent)
        .expect("the binary is in a target directory");
    let profile = if cfg!(debug_assertions) {
        "dev"
    } else {
        "release"
    };
    let mut command = Command::new(env!("CARGO"));
    command
        .args(["build", "--locked", "--workspace", "--bin", "yuccaliftd"])
        .args(["--profile", profile, "--target-dir"])
        .arg(target)
        .current_dir(env!("CARGO_MANIFEST_DIR"));
    let status = command.status().expect("cargo runs");
    assert!(status.success(), "the daemon is built");
}

/// Reads lines on a separate thread, so that the process never blocks on a full pipe.
fn read_lines(output: impl Read + Send + 'static) -> Receiver<String> {
    let (sender, lines) = channel();
    std::thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            let _receiver_dropped = sender.send(line);
        }
    });
    lines
}

/// A temporary folder that is removed on drop.
pub struct TestFolder {
    path: PathBuf,
}

impl TestFolder {
    /// Creates a folder; `name` must be unique among the tests.
    pub fn new(name: &str) -> Self {
        let unique = format!("yuccalift-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(unique);
        std::fs::create_dir_all(&path).expect("the folder is created");
        Self { path }
    }

    /// Writes a file into the folder and returns its path.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.path.join(name);
        std::fs::write(&path, text).expect("the file is written");
        path
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _cleanup_is_best_effort = std::fs::remove_dir_all(&self.path);
    }
}
