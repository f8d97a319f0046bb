//! Parses the JSON values published by the platform: shard maps and the fleet bounds.
//!
//! Programs generate these values, so reporting the first error is enough. The error still names
//! its line.

use serde::de::DeserializeOwned;
use yuccalift_core::ShardMap;
use yuccalift_core::ids::TargetId;
use yuccalift_core::shard_map::ShardMapError;
use yuccalift_wire::platform::FleetBounds;

use crate::document::{DOCUMENT_PATH, DocumentNode, MappingEntry, NodeValue, load_mapping};
use crate::error::{ErrorList, SettingsErrors};

/// Parses and validates the shard map of a collection.
///
/// # Errors
///
/// The first error in the map, with its line.
pub fn parse_shard_map(file_name: &str, text: &str) -> Result<ShardMap, SettingsErrors> {
    let mut errors = ErrorList::new(file_name);
    let map = parse_json::<ShardMap>(text, "a shard map", &mut errors);
    let map = map.and_then(|map| match map.normalize() {
        Ok(map) => Some(map),
        Err(error) => {
            add_map_error(&error, text, &mut errors);
            None
        }
    });
    errors.finish(map)
}

/// Parses and validates the bounds of the fleet.
///
/// # Errors
///
/// A JSON error, or all errors in the values of the bounds, each with its line.
pub fn parse_fleet_bounds(file_name: &str, text: &str) -> Result<FleetBounds, SettingsErrors> {
    let mut errors = ErrorList::new(file_name);
    let bounds = parse_json::<FleetBounds>(text, "bounds of the fleet", &mut errors);
    if let Some(bounds) = &bounds {
        check_fleet_bounds(bounds, text, &mut errors);
    }
    errors.finish(bounds)
}

fn parse_json<T: DeserializeOwned>(text: &str, allowed: &str, errors: &mut ErrorList) -> Option<T> {
    match serde_json::from_str(text) {
        Ok(value) => Some(value),
        Err(error) => {
            let line = error.line().max(1);
            errors.add(line, DOCUMENT_PATH, error.to_string(), allowed);
            None
        }
    }
}

fn check_fleet_bounds(bounds: &FleetBounds, text: &str, errors: &mut ErrorList) {
    let entries = parse_tree(text);
    let line = |name: &str| find_entry(&entries, name).map_or(1, |entry| entry.line);
    let per_data_centre = "daemons_per_data_centre";
    if bounds.daemons == 0 {
        errors.add(line("daemons"), "daemons", "`0`", "at least 1");
    }
    if bounds.daemons_per_data_centre == 0 {
        errors.add(line(per_data_centre), per_data_centre, "`0`", "at least 1");
    }
    if bounds.daemons_per_data_centre > bounds.daemons {
        let found = format!("`{}`", bounds.daemons_per_data_centre);
        let allowed = format!("at most `daemons`, which is {}", bounds.daemons);
        errors.add(line(per_data_centre), per_data_centre, found, allowed);
    }
}

fn add_map_error(error: &ShardMapError, text: &str, errors: &mut ErrorList) {
    let entries = parse_tree(text);
    let (list, id_field, id) = match error {
        ShardMapError::UnknownTarget { shard, .. } => ("shards", "shard", Some(*shard)),
        ShardMapError::ZeroLimit { target, .. } => ("targets", "target", Some(*target)),
        ShardMapError::Duplicate {
            list: "targets",
            id,
        } => ("targets", "target", Some(*id)),
        ShardMapError::Duplicate { list: "shards", id } => ("shards", "shard", Some(*id)),
        ShardMapError::Empty { list: "targets" } => ("targets", "target", None),
        ShardMapError::Duplicate { .. } | ShardMapError::Empty { .. } => ("shards", "shard", None),
    };
    let path = match id {
        Some(id) => format!("{list}[{id_field}={id}]"),
        None => list.to_owned(),
    };
    let line = entry_line(&entries, list, id_field, id);
    errors.add(line, &path, error.to_string(), "a consistent shard map");
}

/// Returns the line of a target in the text of a shard map.
pub(crate) fn target_line(text: &str, target: TargetId) -> usize {
    entry_line(&parse_tree(text), "targets", "target", Some(target))
}

/// Returns the line of a top-level field, or 1 if the text lacks it.
pub(crate) fn field_line(text: &str, name: &str) -> usize {
    find_entry(&parse_tree(text), name).map_or(1, |entry| entry.line)
}

/// Returns the line of the last entry in `list` whose `id_field` is `id`, or else the line of the
/// list.
fn entry_line(entries: &[MappingEntry], list: &str, id_field: &str, id: Option<u32>) -> usize {
    let Some(entry) = find_entry(entries, list) else {
        return 1;
    };
    let NodeValue::List(nodes) = &entry.node.value else {
        return entry.line;
    };
    let has_id = |node: &&DocumentNode| match (&node.value, id) {
        (NodeValue::Mapping(fields), Some(id)) => find_entry(fields, id_field)
            .is_some_and(|field| field.node.value == NodeValue::Scalar(id.to_string().into())),
        _ => false,
    };
    nodes
        .iter()
        .rfind(has_id)
        .map_or(entry.line, |node| node.line)
}

/// Parses the text again as a tree with line numbers. JSON is a subset of YAML.
fn parse_tree(text: &str) -> Vec<MappingEntry> {
    load_mapping(text, &mut ErrorList::new("")).unwrap_or_default()
}

fn find_entry<'a>(entries: &'a [MappingEntry], name: &str) -> Option<&'a MappingEntry> {
    entries.iter().find(|entry| entry.key.as_ref() == name)
}
