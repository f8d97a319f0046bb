//! Validation of published values before they take effect.

use yuccalift_wire::platform::{ACCOUNTS_KEY, FLEET_KEY, SHARD_MAP_PREFIX};

/// Validates a value according to its key. An unknown key passes: a newer daemon may use it, and
/// this one ignores it.
///
/// # Errors
///
/// Returns what is wrong with the value, as text for operators.
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
