//! Settings of a relay whose figures the platform fills in, as whole numbers or fractions.

use std::time::Duration;

use yuccalift_core::relay::AdmissionMode;
use yuccalift_settings::{RelaySettings, parse_relay};
use yuccalift_testkit::cases;

/// Placeholders of the template, with the values of a usual host.
const USUAL_VALUES: &[(&str, &str)] = &[
    ("node_name", "frontend-a-1"),
    ("zone", "zone-a"),
    ("ip", "10.1.0.39"),
    ("listen_addrs.front", "10.1.0.39:8226"),
    ("listen_addrs.ready", "10.1.0.39:8227"),
    ("listen_addrs.control", "10.1.0.39:8224"),
    ("platform.address", "10.200.1.7:8229"),
    ("platform.reads_per_s", "2000"),
    ("seeds", "10.1.0.39:8224,10.2.0.33:8224"),
    ("bounds.drain_ms", "3000"),
    ("bounds.retry_budget_ratio", "0.2"),
    ("bounds.budget_window_s", "10"),
    ("bounds.grace_s", "6"),
];

/// The setting of admission control in the template.
const ADAPTIVE: &str = "overload:\n  admission: adaptive\n";

/// Placeholders of sections that only some deployments have a value for, with usual values.
const OPTIONAL_VALUES: &[(&str, &str)] = &[
    ("bounds.evacuate_ms", "5000"),
    ("bounds.cold_slack", "5"),
    ("bounds.cold_overage", "1.5"),
    ("limits.memory_mb", "160"),
    ("limits.max_fds", "4100"),
];

/// Renders the section of the optional value `present`, and leaves out the other sections.
fn with_sections(template: &str, present: &str) -> String {
    OPTIONAL_VALUES
        .iter()
        .fold(template.to_owned(), |text, (name, usual)| {
            let (begin, end) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
            let (before, rest) = text.split_once(&begin).expect("the section begins");
            let (inside, after) = rest.split_once(&end).expect("the section ends");
            let inside = inside.replace(&format!("{{{{{name}}}}}"), usual);
            let rendered = if *name == present { &inside } else { "" };
            format!("{before}{rendered}{after}")
        })
}

/// Fills in the template of the deploy file, with one value other than usual.
fn filled_template(name: &str, value: &str) -> String {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../deploy/relay.yaml.template");
    let template = std::fs::read_to_string(path).expect("the template can be read");
    let placeholder = |name: &str| format!("{{{{{name}}}}}");
    assert!(template.contains(&placeholder(name)), "{name} is used");
    let with_value = template.replace(&placeholder(name), value);
    let with_value = with_sections(&with_value, name);
    USUAL_VALUES.iter().fold(with_value, |text, (name, usual)| {
        text.replace(&placeholder(name), usual)
    })
}

/// Guards against a relay that does not start because the platform fills in a fraction.
fn is_accepted(name: &str, value: &str, has_value: impl Fn(&RelaySettings) -> bool) {
    let text = filled_template(name, value);
    let settings = parse_relay("relay.yaml", &text).unwrap_or_else(|errors| panic!("{errors}"));
    assert!(has_value(&settings), "{settings:?}");
}

fn is_refused(name: &str, value: &str) {
    let text = filled_template(name, value);
    assert!(parse_relay("relay.yaml", &text).is_err(), "{text}");
}

/// Guards against a relay that ignores the setting of admission control, or turns it on where the
/// settings do not ask for it.
fn check_admission(setting: &str, expected: Option<AdmissionMode>) {
    let text = filled_template("bounds.grace_s", "6");
    assert!(text.contains(ADAPTIVE), "{text}");
    let settings = parse_relay("relay.yaml", &text.replace(ADAPTIVE, setting));
    assert_eq!(settings.ok().map(|settings| settings.admission), expected);
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

cases! {
    the_template_sets_adaptive_admission: check_admission(ADAPTIVE, Some(AdmissionMode::Adaptive));
    admission_control_is_off_by_default: check_admission("", Some(AdmissionMode::Off));
    admission_control_can_be_off: check_admission("overload:\n  admission: off\n", Some(AdmissionMode::Off));
    an_unknown_admission_is_refused: check_admission("overload:\n  admission: on\n", None);
    a_whole_stop_time_is_accepted:
        is_accepted("bounds.grace_s", "7", |settings| settings.stop_timeout == ms(7000));
    a_host_without_published_limits_has_the_defaults:
        is_accepted("bounds.grace_s", "6", |settings| {
            (settings.memory_limit_mb, settings.descriptor_limit) == (512, 8192)
        });
    a_fractional_memory_limit_is_accepted:
        is_accepted("limits.memory_mb", "160.5", |settings| settings.memory_limit_mb == 160);
    a_small_memory_limit_is_accepted:
        is_accepted("limits.memory_mb", "16", |settings| settings.memory_limit_mb == 16);
    a_descriptor_limit_with_a_decimal_point_is_accepted:
        is_accepted("limits.max_fds", "4100.0", |settings| settings.descriptor_limit == 4100);
    a_memory_limit_that_is_no_number_is_refused: is_refused("limits.memory_mb", "much");
    a_fractional_stop_time_is_accepted:
        is_accepted("bounds.grace_s", "6.5", |settings| settings.stop_timeout == ms(6500));
    a_stop_time_below_a_second_is_accepted:
        is_accepted("bounds.grace_s", "0.75", |settings| settings.stop_timeout == ms(750));
    a_whole_stop_time_with_a_decimal_point_is_accepted:
        is_accepted("bounds.grace_s", "6.0", |settings| settings.stop_timeout == ms(6000));
    a_stop_time_with_an_exponent_is_accepted:
        is_accepted("bounds.grace_s", "6.5e0", |settings| settings.stop_timeout == ms(6500));
    a_fractional_retry_window_is_accepted:
        is_accepted("bounds.budget_window_s", "2.25", |settings| settings.retry_window == ms(2250));
    a_fractional_drain_time_is_accepted:
        is_accepted("bounds.drain_ms", "2999.6", |settings| settings.drain_time == ms(3000));
    a_retry_share_above_one_is_accepted:
        is_accepted("bounds.retry_budget_ratio", "1.25", |settings| {
            settings.retry_share.to_bits() == 1.25_f64.to_bits()
        });
    a_fractional_call_rate_is_accepted:
        is_accepted("platform.reads_per_s", "1999.5", |settings| settings.store_calls == 1999);
    a_low_call_rate_permits_a_daemon:
        is_accepted("platform.reads_per_s", "7.5", |settings| settings.fleet_daemons == 1);
    an_evacuation_time_is_accepted:
        is_accepted("bounds.evacuate_ms", "5000", |settings| settings.evacuation_time == Some(ms(5000)));
    a_fractional_evacuation_time_is_accepted:
        is_accepted("bounds.evacuate_ms", "4500.5", |settings| settings.evacuation_time == Some(ms(4501)));
    a_deployment_without_evacuations_has_no_time:
        is_accepted("bounds.grace_s", "6", |settings| settings.evacuation_time.is_none());
    a_cold_overage_is_accepted:
        is_accepted("bounds.cold_overage", "1.25", |settings| settings.cold_overage == Some(1.25));
    a_deployment_without_cold_targets_has_no_overage:
        is_accepted("bounds.grace_s", "6", |settings| settings.cold_overage.is_none());
    an_infinite_overage_is_refused: is_refused("bounds.cold_overage", "inf");
    a_negative_time_is_refused: is_refused("bounds.grace_s", "-6.5");
    an_infinite_time_is_refused: is_refused("bounds.grace_s", "inf");
    a_time_that_is_no_number_is_refused: is_refused("bounds.grace_s", "6.5.1");
    a_time_of_a_year_is_refused: is_refused("bounds.drain_ms", "3.2e10");
    a_missing_time_is_refused: is_refused("bounds.grace_s", "");
    a_share_that_is_no_number_is_refused: is_refused("bounds.retry_budget_ratio", "nan");
}
