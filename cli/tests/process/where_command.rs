//! `yuccalift where` asks a real relay.

use std::process::Command;
use std::time::Instant;

use yuccalift_platform_standins::caller::CallerRequest;
use yuccalift_platform_standins::site::RelaySite;

use crate::spawned::{POLL_PERIOD, STEP_LIMIT, yuccaliftd};

const SERVICE: &str = "orders";
const SITE_NUMBER: u8 = 31;

fn run_where(site: &RelaySite, rest: &[&str]) -> String {
    let address = site.daemons[0].metrics.to_string();
    let output = Command::new(env!("CARGO_BIN_EXE_yuccalift"))
        .args(["where", &address, "--host", "shop.example"])
        .args(rest)
        .output()
        .expect("the binary runs");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{output:?}");
    text
}

/// Guards against a command that calls the daemon wrongly or prints only a part of its answer.
fn explanation_is_printed() {
    let services = [SERVICE.to_owned()];
    let site = RelaySite::start(yuccaliftd(), SITE_NUMBER, &services, 1);
    site.publish(1, &services, SERVICE);
    let until = Instant::now() + STEP_LIMIT;
    let send = || CallerRequest::look("ready", SERVICE).send_blocking(site.daemons[0].callers);
    while send().status != Some(200) {
        assert!(Instant::now() < until, "the daemon serves");
        std::thread::sleep(POLL_PERIOD);
    }
    let text = run_where(&site, &["--path", "/look/1?q=a b&c"]);
    assert!(
        text.contains("version 1: the request would be sent"),
        "{text}"
    );
    assert_eq!(text.matches("chosen").count(), 1, "{text}");
    for (target, _) in &site.targets {
        assert!(text.contains(&target.name), "{text}");
    }
    let text = run_where(&site, &["--path", "/nowhere", "--json"]);
    assert!(text.contains("\"no_route\""), "{text}");
}

yuccalift_testkit::cases! {
    where_prints_the_explanation_of_a_relay: explanation_is_printed();
}
