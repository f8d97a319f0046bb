//! The command line as an operator meets it: texts and exit statuses.

use std::process::Command;

fn ends_with(arguments: &[&str], status: i32, said: &str) {
    let output = Command::new(env!("CARGO_BIN_EXE_yuccalift"))
        .args(arguments)
        .output()
        .expect("the binary runs");
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    assert_eq!(
        output.status.code(),
        Some(status),
        "the exit status, with {text}"
    );
    assert!(text.contains(said), "{said:?} is said in {text}");
}

fn file_ends_with(command: &str, file: &str, rest: &[&str], status: i32, said: &str) {
    let path = format!("{}/../{file}", env!("CARGO_MANIFEST_DIR"));
    let mut arguments = vec![command, &path];
    arguments.extend(rest);
    ends_with(&arguments, status, said);
}

yuccalift_testkit::cases! {
    check_accepts_an_example:
        file_ends_with("check", "examples/quito/accounts.yaml", &[], 0, "valid templates and accounts");
    check_accepts_the_deployed_template:
        file_ends_with("check", "deploy/relay.yaml.template", &[], 0, "valid template of settings of a relay");
    check_refuses_a_template_with_an_unknown_value:
        file_ends_with("check", "cli/tests/broken.yaml.template", &[], 2, "{{nobody}} is no value");
    check_refuses_a_broken_file:
        file_ends_with("check", "settings/tests/broken/07-contradictions.yaml", &[], 2, ":8: templates.search.urgency");
    check_refuses_a_missing_file: ends_with(&["check", "/no/such/file"], 2, "read file /no/such/file");
    check_needs_a_file: ends_with(&["check"], 2, "a file is missing");
    explain_names_origins:
        file_ends_with("explain", "examples/vn-south/accounts.yaml", &["vet-lookups"], 0, "template race, line");
    explain_refuses_an_unknown_account:
        file_ends_with("explain", "examples/vn-south/accounts.yaml", &["nobody"], 2, "no account `nobody`");
    explain_refuses_a_broken_file:
        file_ends_with("explain", "settings/tests/broken/08-bad-accounts.yaml", &["vets"], 2, "unknown template `rase`");
    status_needs_an_address: ends_with(&["status"], 2, "address is missing");
    status_refuses_a_bad_address: ends_with(&["status", "localhost"], 2, "localhost");
    status_of_no_daemon_fails: ends_with(&["status", "127.0.0.1:1", "--key-file", "/dev/null"], 1, "peer 127.0.0.1:1");
    drain_has_no_json: ends_with(&["drain", "127.0.0.1:1", "--json"], 2, "--json");
    check_help: ends_with(&["check", "--help"], 0, "Usage: yuccalift check");
    explain_help: ends_with(&["explain", "--help"], 0, "Usage: yuccalift explain");
    status_help: ends_with(&["status", "--help"], 0, "YUCCALIFT_KEY");
    drain_help: ends_with(&["drain", "--help"], 0, "Usage: yuccalift drain");
    help_is_printed: ends_with(&["--help"], 0, "Usage: yuccalift COMMAND");
    version_is_printed: ends_with(&["--version"], 0, "yuccalift 0.");
    a_missing_command_is_bad_use: ends_with(&[], 2, "a command is missing");
    an_unknown_command_is_bad_use: ends_with(&["fly"], 2, "no command is named \"fly\"");
    an_unknown_option_is_bad_use: ends_with(&["--fly"], 2, "--fly");
    experiments_are_listed: ends_with(&["experiment", "--list"], 0, "straggler");
    an_unknown_experiment_is_bad_use: ends_with(&["experiment", "x"], 2, "no experiment is named");
    half_of_a_pair_may_not_be_unknown:
        ends_with(&["experiment", "steady+x"], 2, "no experiment is named \"x\"");
    a_bad_policy_is_bad_use:
        ends_with(&["experiment", "steady", "--policy", "x"], 2, "full, baseline, both");
    a_bad_seed_is_bad_use: ends_with(&["experiment", "steady", "--seed", "x"], 2, "invalid digit");
    an_unknown_standin_is_bad_use: ends_with(&["standin", "x"], 2, "no stand-in is named");
    callers_need_a_daemon:
        ends_with(&["standin", "callers", "--account", "a", "--collection", "c"], 2, "--daemon");
}
