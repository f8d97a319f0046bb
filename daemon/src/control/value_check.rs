//! The check that each published value must pass before it is in force.

use yuccalift_wire::platform::{ACCOUNTS_KEY, FLEET_KEY, SHARD_MAP_PREFIX};

/// Checks a value by the kind that its key names; a key of no known kind passes, since a newer
/// daemon may know it and it is not used here.
///
/// # Errors
///
/// What is wrong with the value, for the operators.
pub fn check_value(key: &str, value: &str) -> Result<(), Box<str>> {
    let checked = if key == ACCOUNTS_KEY {
        yuccalift_settings::parse_accounts(key, value, 0).map(drop)
    } else if key == FLEET_KEY {
        yuccalift_settings::parse_fleet_bounds(key, value).map(drop)
    } else if key.starts_with(SHARD_MAP_PREFIX) {
        yuccalift_settings::parse_shard_map(key, value).map(drop)
    } else {
        Ok(())
    };
    checked.map_err(|errors| errors.to_string().into())
}
