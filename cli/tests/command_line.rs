//! Output and exit status of the command line.

use std::process::Command;

fn assert_exit(arguments: &[&str], status: i32, expected_text: &str) {
    let output = Command::new(env!("CARGO_BIN_EXE_yuccalift"))
        .args(arguments)
        .output()
        .expect("the binary runs");
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

fn assert_exit_for_file(
    command: &str,
    file: &str,
    rest: &[&str],
    status: i32,
    expected_text: &str,
) {
    let path = format!("{}/../{file}", env!("CARGO_MANIFEST_DIR"));
    let mut arguments = vec![command, &path];
    arguments.extend(rest);
    assert_exit(&arguments, status, expected_text);
}

yuccalift_testkit::cases! {
    check_accepts_example:
        assert_exit_for_file("check", "examples/quito/accounts.yaml", &[], 0, "valid templates and accounts");
    check_accepts_deployed_template:
        assert_exit_for_file("check", "deploy/relay.yaml.template", &[], 0, "valid template of settings of a relay");
    check_rejects_template_with_unknown_value:
        assert_exit_for_file("check", "cli/tests/broken.yaml.template", &[], 2, "unknown placeholder {{nobody}}");
    check_rejects_invalid_file:
        assert_exit_for_file("check", "settings/tests/broken/07-contradictions.yaml", &[], 2, ":8: templates.search.urgency");
    check_rejects_missing_file: assert_exit(&["check", "/no/such/file"], 2, "read file /no/such/file");
    check_without_file_is_usage_error: assert_exit(&["check"], 2, "a file is missing");
    explain_prints_origins:
        assert_exit_for_file("explain", "examples/vn-south/accounts.yaml", &["vet-lookups"], 0, "template race, line");
    where_without_a_path_is_usage_error:
        assert_exit(&["where", "127.0.0.1:1", "--host", "shop.example"], 2, "--path are required");
    where_fails_without_a_daemon:
        assert_exit(&["where", "127.0.0.1:1", "--host", "shop.example", "--path", "/x"], 1, "where, peer 127.0.0.1:1");
    explain_rejects_unknown_account:
        assert_exit_for_file("explain", "examples/vn-south/accounts.yaml", &["nobody"], 2, "no account `nobody`");
    explain_rejects_invalid_file:
        assert_exit_for_file("explain", "settings/tests/broken/08-bad-accounts.yaml", &["vets"], 2, "unknown template `rase`");
    status_without_address_is_usage_error: assert_exit(&["status"], 2, "address is missing");
    status_with_invalid_address_is_usage_error: assert_exit(&["status", "localhost"], 2, "localhost");
    status_of_unreachable_daemon_fails: assert_exit(&["status", "127.0.0.1:1", "--key-file", "/dev/null"], 1, "peer 127.0.0.1:1");
    drain_rejects_json_option: assert_exit(&["drain", "127.0.0.1:1", "--json"], 2, "--json");
    check_help: assert_exit(&["check", "--help"], 0, "Usage: yuccalift check");
    explain_help: assert_exit(&["explain", "--help"], 0, "Usage: yuccalift explain");
    status_help: assert_exit(&["status", "--help"], 0, "YUCCALIFT_KEY");
    drain_help: assert_exit(&["drain", "--help"], 0, "Usage: yuccalift drain");
    help_is_printed: assert_exit(&["--help"], 0, "Usage: yuccalift COMMAND");
    version_is_printed: assert_exit(&["--version"], 0, "yuccalift 0.");
    missing_command_is_usage_error: assert_exit(&[], 2, "a command is missing");
    unknown_command_is_usage_error: assert_exit(&["fly"], 2, "no command is named \"fly\"");
    unknown_option_is_usage_error: assert_exit(&["--fly"], 2, "--fly");
    experiments_are_listed: assert_exit(&["experiment", "--list"], 0, "straggler");
    unknown_experiment_is_usage_error: assert_exit(&["experiment", "x"], 2, "no experiment is named");
    pair_with_unknown_experiment_is_usage_error:
        assert_exit(&["experiment", "steady+x"], 2, "no experiment is named \"x\"");
    invalid_policy_is_usage_error:
        assert_exit(&["experiment", "steady", "--policy", "x"], 2, "full, baseline, both");
    invalid_seed_is_usage_error: assert_exit(&["experiment", "steady", "--seed", "x"], 2, "invalid digit");
    unknown_standin_is_usage_error: assert_exit(&["standin", "x"], 2, "no stand-in is named");
    callers_without_daemon_is_usage_error:
        assert_exit(&["standin", "callers", "--account", "a", "--collection", "c"], 2, "--daemon");
}
