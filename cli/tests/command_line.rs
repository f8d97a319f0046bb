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

yuccalift_testkit::cases! {
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
