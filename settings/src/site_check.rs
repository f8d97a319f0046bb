//! Checks that the documents of a site are consistent with each other.
//!
//! A site may fail although each document is valid: an account may use a collection without a shard
//! map, or two daemons may have the same host name. `yuccalift check` runs this check over all files
//! that it is given.

use yuccalift_core::ShardMap;
use yuccalift_core::ids::TargetId;
use yuccalift_wire::platform::FleetBounds;

use crate::accounts::{FieldOrigin, ResolvedAccounts, resolve_accounts};
use crate::daemon::DaemonSettings;
use crate::daemon_file::parse_daemon;
use crate::document_kind::DocumentKind;
use crate::error::{ErrorList, SettingsError, SettingsErrors};
use crate::published::{field_line, parse_fleet_bounds, parse_shard_map, target_line};
use crate::relay::parse_relay;

/// A validated document and its source file.
#[derive(Clone, Debug)]
struct SiteFile<T> {
    file: Box<str>,
    text: Box<str>,
    document: T,
}

impl<T> SiteFile<T> {
    fn new(file: &str, text: &str, document: T) -> Self {
        Self {
            file: file.into(),
            text: text.into(),
            document,
        }
    }
}

/// The documents of a site that are checked together; any of them may be missing.
#[derive(Clone, Debug, Default)]
pub struct SiteCheck {
    daemons: Vec<SiteFile<DaemonSettings>>,
    accounts: Vec<SiteFile<ResolvedAccounts>>,
    maps: Vec<SiteFile<ShardMap>>,
    fleets: Vec<SiteFile<FleetBounds>>,
}

impl SiteCheck {
    /// Creates a check without documents.
    pub fn new() -> Self {
        Self::default()
    }

    /// Validates a document by itself, and adds it to the site if it is valid.
    ///
    /// # Errors
    ///
    /// All errors in the document, each with its line; for JSON documents only the first error.
    pub fn add(&mut self, file: &str, text: &str) -> Result<DocumentKind, SettingsErrors> {
        let kind = DocumentKind::detect(text);
        match kind {
            DocumentKind::Daemon => {
                let settings = parse_daemon(file, text)?;
                self.daemons.push(SiteFile::new(file, text, settings));
            }
            // Relays use none of the other documents, so their settings cannot conflict with them.
            DocumentKind::Relay => {
                parse_relay(file, text)?;
            }
            DocumentKind::Accounts => {
                let accounts = resolve_accounts(file, text, 0)?;
                self.accounts.push(SiteFile::new(file, text, accounts));
            }
            DocumentKind::ShardMap => {
                let map = parse_shard_map(file, text)?;
                self.maps.push(SiteFile::new(file, text, map));
            }
            DocumentKind::Fleet => {
                let bounds = parse_fleet_bounds(file, text)?;
                self.fleets.push(SiteFile::new(file, text, bounds));
            }
        }
        Ok(kind)
    }

    /// Returns the inconsistencies between documents.
    pub fn site_errors(&self) -> Vec<SettingsError> {
        let mut site_errors = Vec::new();
        self.check_collections(&mut site_errors);
        self.check_targets(&mut site_errors);
        self.check_daemons(&mut site_errors);
        self.check_fleet_bounds(&mut site_errors);
        site_errors
    }

    /// Checks that the collections of all accounts have a shard map; skipped if no map was added.
    fn check_collections(&self, site_errors: &mut Vec<SettingsError>) {
        if self.maps.is_empty() {
            return;
        }
        let mut names: Vec<&str> = self
            .maps
            .iter()
            .map(|map| map.document.collection.as_ref())
            .collect();
        names.sort_unstable();
        for accounts in &self.accounts {
            let mut errors = ErrorList::new(&accounts.file);
            for policy in &accounts.document.table.accounts {
                let unmapped = policy
                    .collections
                    .iter()
                    .filter(|name| names.binary_search(&name.as_ref()).is_err());
                for name in unmapped {
                    let line = collections_line(&accounts.document, &policy.account);
                    let path = format!("accounts.{}.collections", policy.account);
                    let found = format!("`{name}`, which has no shard map");
                    errors.add(line, &path, found, names.join(", "));
                }
            }
            site_errors.extend(errors.into_errors());
        }
    }

    fn check_targets(&self, site_errors: &mut Vec<SettingsError>) {
        let mut seen: Vec<(TargetId, &str)> = Vec::new();
        for map in &self.maps {
            let mut errors = ErrorList::new(&map.file);
            for entry in &map.document.targets {
                let target = entry.target;
                match seen.binary_search_by_key(&target, |seen_target| seen_target.0) {
                    Ok(position) => {
                        let found = format!(
                            "a duplicate target number, first used in {}",
                            seen[position].1
                        );
                        let path = format!("targets[target={target}]");
                        let line = target_line(&map.text, target);
                        errors.add(
                            line,
                            &path,
                            found,
                            "target numbers that are unique across shard maps",
                        );
                    }
                    Err(position) => seen.insert(position, (target, &map.file)),
                }
            }
            site_errors.extend(errors.into_errors());
        }
    }

    /// Checks that each daemon has a host of its own, and that all have the same shared key.
    fn check_daemons(&self, site_errors: &mut Vec<SettingsError>) {
        for (position, daemon) in self.daemons.iter().enumerate() {
            let mut errors = ErrorList::new(&daemon.file);
            let host = &daemon.document.host;
            let earlier = &self.daemons[..position];
            if let Some(other) = earlier.iter().find(|other| other.document.host == *host) {
                let found = format!("a duplicate host `{host}`, first used in {}", other.file);
                errors.add(
                    field_line(&daemon.text, "host"),
                    "host",
                    found,
                    "a different host for each daemon",
                );
            }
            if let Some(first) = earlier.first()
                && first.document.shared_key != daemon.document.shared_key
            {
                let found = format!("a key that differs from the one in {}", first.file);
                let line = field_line(&daemon.text, "shared_key");
                errors.add(line, "shared_key", found, "the same key for all daemons");
            }
            site_errors.extend(errors.into_errors());
        }
    }

    /// Checks that the fleet bounds allow for all daemons that were added.
    fn check_fleet_bounds(&self, site_errors: &mut Vec<SettingsError>) {
        let daemons = self.daemons.len();
        for fleet in &self.fleets {
            let max_daemons = fleet.document.daemons;
            if daemons > max_daemons as usize {
                let mut errors = ErrorList::new(&fleet.file);
                let found = format!("`{max_daemons}`, but {daemons} daemons are given");
                let line = field_line(&fleet.text, "daemons");
                errors.add(line, "daemons", found, format!("{daemons} or more"));
                site_errors.extend(errors.into_errors());
            }
        }
    }
}

fn collections_line(accounts: &ResolvedAccounts, account: &str) -> usize {
    let fields = accounts
        .explanation(account)
        .map(|explanation| &explanation.fields);
    let field = fields.and_then(|fields| fields.iter().find(|field| field.name == "collections"));
    match field.map(|field| &field.origin) {
        Some(FieldOrigin::Account { line } | FieldOrigin::Template { line, .. }) => *line,
        _ => 1,
    }
}
