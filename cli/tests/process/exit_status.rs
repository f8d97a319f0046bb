//! Output and exit status of the `yuccaliftd` binary.

use std::process::Command;

use crate::spawned::yuccaliftd;

/// Runs `yuccaliftd` until it exits, and checks its exit status and output.
fn assert_daemon_exit(arguments: &[&str], status: i32, expected_text: &str) {
    let output = Command::new(yuccaliftd())
        .args(arguments)
        .output()
        .expect("yuccaliftd runs");
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    assert_eq!(
        output.status.code(),
        Some(status),
        "exit status; output: {text}"
    );
    assert!(
        text.contains(expected_text),
        "output does not contain {expected_text:?}: {text}"
    );
}

fn repository_path(path: &str) -> String {
    format!("{}/../{path}", env!("CARGO_MANIFEST_DIR"))
}

fn assert_daemon_rejects(path: &str, expected_text: &str) {
    assert_daemon_exit(&[&repository_path(path)], 2, expected_text);
    assert_daemon_exit(&["--check", &repository_path(path)], 2, expected_text);
}

fn assert_daemon_accepts(path: &str) {
    assert_daemon_exit(
        &["--check", &repository_path(path)],
        0,
        "valid settings of a daemon",
    );
}

yuccalift_testkit::cases! {
    daemon_help: assert_daemon_exit(&["--help"], 0, "Usage: yuccaliftd");
    daemon_version: assert_daemon_exit(&["--version"], 0, "yuccaliftd 0.");
    daemon_without_settings_file: assert_daemon_exit(&[], 2, "the settings file is missing");
    daemon_with_unknown_option: assert_daemon_exit(&["--fly"], 2, "--fly");
    daemon_with_missing_settings_file: assert_daemon_exit(&["/no/such/file.yaml"], 2, "read settings, file /no/such/file.yaml");
    daemon_rejects_unknown_fields: assert_daemon_rejects("settings/tests/broken/01-unknown-fields.yaml", ":12: colour: found");
    daemon_rejects_invalid_addresses: assert_daemon_rejects("settings/tests/broken/03-bad-addresses.yaml", ":4: listen.callers: found");
    daemon_accepts_example: assert_daemon_accepts("examples/vn-south/daemons/entry-mekong-a-1.yaml");
}
