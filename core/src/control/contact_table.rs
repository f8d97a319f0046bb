//! A bounded sample of the daemons of other data centres. Because of it, a daemon's memory grows
//! with its own data centre and not with the fleet.

use rand::Rng;
use rand::seq::IndexedRandom;

use super::event::ListedHost;
use super::member_record::{MemberRecord, MemberState};
use crate::ids::{ConfigVersion, DataCentreName};

/// Maximum number of contacts in each other data centre.
pub const CONTACTS_PER_DATA_CENTRE: usize = 4;
/// Maximum number of other data centres whose daemons are kept.
pub const MAX_DATA_CENTRES: usize = 64;
/// Consecutive failures after which a contact is removed, unless it is the last of its data centre.
const MAX_FAILURES: u32 = 3;

#[derive(Clone, Debug)]
struct ContactEntry {
    record: MemberRecord,
    failures: u32,
    reported_version: ConfigVersion,
}

#[derive(Clone, Debug)]
struct RemoteDataCentre {
    name: DataCentreName,
    contacts: Vec<ContactEntry>,
}

/// Known daemons of other data centres.
#[derive(Clone, Debug, Default)]
pub struct ContactTable {
    data_centres: Vec<RemoteDataCentre>,
}

impl ContactTable {
    /// Returns all contacts, ordered by data centre.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.data_centres
            .iter()
            .flat_map(|data_centre| data_centre.contacts.iter().map(|contact| &contact.record))
    }

    /// Returns the number of other data centres known.
    pub fn data_centres(&self) -> usize {
        self.data_centres.len()
    }

    /// Merges a record of a daemon in another data centre.
    pub fn merge(&mut self, record: &MemberRecord, rng: &mut impl Rng) {
        let Some(data_centre) = self.data_centre(&record.data_centre) else {
            return;
        };
        let known = data_centre
            .contacts
            .iter()
            .position(|contact| contact.record.host == record.host);
        if let Some(position) = known {
            if record.supersedes(&data_centre.contacts[position].record) {
                data_centre.contacts[position].record = record.clone();
                data_centre.contacts[position].failures = 0;
            }
        } else if matches!(record.state, MemberState::Alive | MemberState::Suspect) {
            data_centre.add(record, rng);
        }
        data_centre.remove_inactive();
    }

    /// Adds a host from the platform's list if its data centre has too few contacts. The list does
    /// not tell the incarnation, so any other record of the host supersedes this one.
    pub fn add_listed(&mut self, listed: &ListedHost) {
        let Some(data_centre) = self.data_centre(&listed.data_centre) else {
            return;
        };
        let is_known = data_centre
            .contacts
            .iter()
            .any(|contact| contact.record.host == listed.host);
        if is_known || data_centre.contacts.len() >= CONTACTS_PER_DATA_CENTRE {
            return;
        }
        let record = MemberRecord {
            host: listed.host.clone(),
            data_centre: listed.data_centre.clone(),
            address: listed.address,
            incarnation: 0,
            refutation: 0,
            state: MemberState::Alive,
        };
        data_centre.contacts.push(ContactEntry {
            record,
            failures: 0,
            reported_version: 0,
        });
    }

    /// Returns each contact with the configuration version it last reported, or 0 before its first
    /// report.
    pub fn versions(&self) -> impl Iterator<Item = (&MemberRecord, ConfigVersion)> {
        self.data_centres
            .iter()
            .flat_map(|data_centre| data_centre.contacts.iter())
            .map(|contact| (&contact.record, contact.reported_version))
    }

    /// Records a message from a contact and the configuration version that it reports.
    pub fn record_reply(&mut self, host: &str, version: ConfigVersion) {
        if let Some(contact) = self.find(host) {
            contact.failures = 0;
            contact.reported_version = version;
        }
    }

    /// Records that a contact did not answer. The last contact of a data centre is kept, since it
    /// is needed to reconnect after a network partition.
    pub fn record_failure(&mut self, host: &str) {
        if let Some(contact) = self.find(host) {
            contact.failures += 1;
        }
        for data_centre in &mut self.data_centres {
            if data_centre.contacts.len() > 1 {
                data_centre
                    .contacts
                    .retain(|contact| contact.failures < MAX_FAILURES);
            }
        }
    }

    /// Returns a random contact of a random other data centre.
    pub fn choose(&self, rng: &mut impl Rng) -> Option<&MemberRecord> {
        let data_centre = self.data_centres.choose(rng)?;
        let contact = data_centre.contacts.choose(rng)?;
        Some(&contact.record)
    }

    fn find(&mut self, host: &str) -> Option<&mut ContactEntry> {
        self.data_centres
            .iter_mut()
            .flat_map(|data_centre| data_centre.contacts.iter_mut())
            .find(|contact| contact.record.host.as_ref() == host)
    }

    fn data_centre(&mut self, name: &DataCentreName) -> Option<&mut RemoteDataCentre> {
        let position = match self
            .data_centres
            .binary_search_by(|data_centre| data_centre.name.cmp(name))
        {
            Ok(position) => position,
            Err(_) if self.data_centres.len() >= MAX_DATA_CENTRES => return None,
            Err(position) => {
                let data_centre = RemoteDataCentre {
                    name: name.clone(),
                    contacts: Vec::new(),
                };
                self.data_centres.insert(position, data_centre);
                position
            }
        };
        self.data_centres.get_mut(position)
    }
}

impl RemoteDataCentre {
    /// Adds a contact. A full sample replaces a failing contact, or else a random one.
    fn add(&mut self, record: &MemberRecord, rng: &mut impl Rng) {
        let entry = ContactEntry {
            record: record.clone(),
            failures: 0,
            reported_version: 0,
        };
        if self.contacts.len() < CONTACTS_PER_DATA_CENTRE {
            self.contacts.push(entry);
            return;
        }
        let failing = self
            .contacts
            .iter()
            .position(|contact| contact.failures > 0);
        let position = failing.unwrap_or_else(|| rng.random_range(0..self.contacts.len()));
        self.contacts[position] = entry;
    }

    fn remove_inactive(&mut self) {
        if self.contacts.len() <= 1 {
            return;
        }
        self.contacts.retain(|contact| {
            matches!(
                contact.record.state,
                MemberState::Alive | MemberState::Suspect
            )
        });
    }
}
