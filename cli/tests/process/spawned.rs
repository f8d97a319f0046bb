//! Processes that a test starts, with the lines that they write.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::LazyLock;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// Longer than any step of a test takes on a busy machine.
pub const STEP_LIMIT: Duration = Duration::from_secs(20);
/// How often a condition is looked at again.
pub const POLL_PERIOD: Duration = Duration::from_millis(20);

/// A process that is killed when it is dropped.
pub struct TestProcess {
    child: Child,
    lines: Receiver<String>,
}

impl TestProcess {
    /// Starts `yuccalift` and reads what it prints.
    pub fn yuccalift(arguments: &[&str]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_yuccalift"));
        command.args(arguments).stdout(Stdio::piped());
        let mut child = command.spawn().expect("yuccalift starts");
        let stdout = child.stdout.take().expect("its output is piped");
        let lines = read_lines(stdout);
        Self { child, lines }
    }

    /// Starts `yuccaliftd`, which stands beside `yuccalift`, and reads its log.
    pub fn yuccaliftd(settings: &Path) -> Self {
        let mut command = Command::new(yuccaliftd());
        command.arg(settings).stdout(Stdio::piped());
        let mut child = command.spawn().expect("yuccaliftd starts");
        let stdout = child.stdout.take().expect("its log is piped");
        let lines = read_lines(stdout);
        Self { child, lines }
    }

    /// The next line that `select` takes.
    pub fn wait_line<T>(&self, select: impl Fn(&str) -> Option<T>) -> T {
        let deadline = Instant::now() + STEP_LIMIT;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let line = self.lines.recv_timeout(remaining);
            let line = line.expect("the line comes before the process ends or the time is up");
            if let Some(found) = select(&line) {
                return found;
            }
        }
    }

    /// The address on the line that begins with a word.
    pub fn wait_address(&self, prefix: &str) -> SocketAddr {
        self.wait_line(|line| line.strip_prefix(prefix)?.trim().parse().ok())
    }

    /// Sends it a signal by its id.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([signal, &id]).status();
        assert!(
            status.is_ok_and(|status| status.success()),
            "{signal} is sent to {id}"
        );
    }

    /// Waits for its end.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let deadline = Instant::now() + STEP_LIMIT;
        loop {
            if let Some(status) = self
                .child
                .try_wait()
                .expect("the process can be waited for")
            {
                return status;
            }
            assert!(Instant::now() < deadline, "the process ends");
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

/// The `yuccaliftd` binary, which stands beside `yuccalift`.
///
/// It is of another package, so that a test of this package alone does not build it; a binary that
/// is left from an earlier build would be tested in its place. So cargo brings it up to date once,
/// before the first use; after a build of the whole workspace that is no work.
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
        .expect("a target directory");
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

/// Reads lines on a thread of its own, so that the process never waits for its reader.
fn read_lines(output: impl Read + Send + 'static) -> Receiver<String> {
    let (sender, lines) = channel();
    std::thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            let _receiver_dropped = sender.send(line);
        }
    });
    lines
}

/// A folder that is removed when it is dropped.
pub struct TestFolder {
    path: PathBuf,
}

impl TestFolder {
    /// Makes a folder of a name that no other test uses.
    pub fn new(name: &str) -> Self {
        let unique = format!("yuccalift-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(unique);
        std::fs::create_dir_all(&path).expect("the folder is made");
        Self { path }
    }

    /// Writes a file into it.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.path.join(name);
        std::fs::write(&path, text).expect("the file is written");
        path
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _best_effort = std::fs::remove_dir_all(&self.path);
    }
}
