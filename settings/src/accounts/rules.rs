//! Checks for contradictions between the fields of an account.

use yuccalift_core::{RepeatPolicy, Urgency};

use super::fields::{DEADLINE, HEDGE_SHARE, PATIENCE, REPEAT, RETRY_SHARE, URGENCY};
use super::layers::FieldLayers;
use crate::error::ErrorList;
use crate::value::format_duration;

/// Adds each contradiction to `errors`, at the line of one of its fields.
///
/// In a template alone, a pair of fields is checked only if the template sets both, since an
/// account may still override either.
pub(super) fn check_contradictions(layers: &FieldLayers<'_>, errors: &mut ErrorList) {
    check_urgent(layers, errors);
    check_patience(layers, errors);
    check_share(layers, HEDGE_SHARE, &[RepeatPolicy::Hedge], errors);
    check_share(
        layers,
        RETRY_SHARE,
        &[RepeatPolicy::Retry, RepeatPolicy::Hedge],
        errors,
    );
}

/// Urgent requests are refused if they cannot meet their deadline, so urgent accounts must set one:
/// a default deadline would be a guess.
fn check_urgent(layers: &FieldLayers<'_>, errors: &mut ErrorList) {
    if !layers.is_account() || layers.find(DEADLINE).is_some() {
        return;
    }
    let Some(field) = layers.find(URGENCY) else {
        return;
    };
    if layers.urgency() == Some(Urgency::Urgent) {
        let allowed = "`urgent` together with a deadline";
        errors.add(
            field.field.line,
            &field.path,
            "`urgent` without a deadline",
            allowed,
        );
    }
}

fn check_patience(layers: &FieldLayers<'_>, errors: &mut ErrorList) {
    if !both_apply(layers, PATIENCE, DEADLINE) {
        return;
    }
    let (Some(patience), Some(deadline)) = (layers.duration(PATIENCE), layers.duration(DEADLINE))
    else {
        return;
    };
    let Some(field) = layers.find(PATIENCE) else {
        return;
    };
    if patience > deadline {
        let found = format!(
            "`{}`, longer than the deadline of `{}`",
            format_duration(patience),
            format_duration(deadline)
        );
        errors.add(field.field.line, &field.path, found, "at most the deadline");
    }
}

fn check_share(
    layers: &FieldLayers<'_>,
    name: &str,
    allowed_repeats: &[RepeatPolicy],
    errors: &mut ErrorList,
) {
    if !both_apply(layers, name, REPEAT) {
        return;
    }
    let (Some(share), Some(repeat)) = (layers.share(name), layers.repeat()) else {
        return;
    };
    let Some(field) = layers.find(name) else {
        return;
    };
    if share > 0.0 && !allowed_repeats.contains(&repeat) {
        let found = format!("`{share}` with `repeat: {}`", repeat_name(repeat));
        let names: Vec<&str> = allowed_repeats.iter().copied().map(repeat_name).collect();
        let allowed = format!("0, or `repeat` set to {}", names.join(" or "));
        errors.add(field.field.line, &field.path, found, allowed);
    }
}

fn both_apply(layers: &FieldLayers<'_>, left: &str, right: &str) -> bool {
    layers.is_account() || (layers.find(left).is_some() && layers.find(right).is_some())
}

fn repeat_name(repeat: RepeatPolicy) -> &'static str {
    match repeat {
        RepeatPolicy::Never => "never",
        RepeatPolicy::Retry => "retry",
        RepeatPolicy::Hedge => "hedge",
    }
}
