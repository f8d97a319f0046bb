//! The daemon's program as an operator meets it: texts and exit statuses.

use std::process::Command;

use crate::spawned::yuccaliftd;

/// Runs the daemon's program to its end.
fn daemon_ends(arguments: &[&str], status: i32, said: &str) {
    let output = Command::new(yuccaliftd())
        .args(arguments)
        .output()
        .expect("it runs");
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    assert_eq!(
        output.status.code(),
        Some(status),
        "the exit status, with {text}"
    );
    assert!(text.contains(said), "{said:?} is said in {text}");
}

fn repository(path: &str) -> String {
    format!("{}/../{path}", env!("CARGO_MANIFEST_DIR"))
}

fn daemon_refuses(path: &str, said: &str) {
    daemon_ends(&[&repository(path)], 2, said);
    daemon_ends(&["--check", &repository(path)], 2, said);
}

fn daemon_checks(path: &str) {
    daemon_ends(
        &["--check", &repository(path)],
        0,
        "valid settings of a daemon",
    );
}

yuccalift_testkit::cases! {
    daemon_help: daemon_ends(&["--help"], 0, "Usage: yuccaliftd");
    daemon_version: daemon_ends(&["--version"], 0, "yuccaliftd 0.");
    daemon_without_a_file: daemon_ends(&[], 2, "the settings file is missing");
    daemon_with_an_unknown_option: daemon_ends(&["--fly"], 2, "--fly");
    daemon_with_a_missing_file: daemon_ends(&["/no/such/file.yaml"], 2, "read settings, file /no/such/file.yaml");
    daemon_refuses_unknown_fields: daemon_refuses("settings/tests/broken/01-unknown-fields.yaml", ":12: colour: found");
    daemon_refuses_bad_addresses: daemon_refuses("settings/tests/broken/03-bad-addresses.yaml", ":4: listen.callers: found");
    daemon_checks_an_example: daemon_checks("examples/vn-south/daemons/entry-mekong-a-1.yaml");
}
