//! A bounded sample of the daemons of other data centres, so that what a daemon holds grows with
//! its own data centre and not with the fleet.

use rand::Rng;
use rand::seq::IndexedRandom;

use super::event::ListedHost;
use super::member_record::{MemberRecord, MemberState};
use crate::ids::{ConfigVersion, DataCentreName};

/// How many daemons of each other data centre are known.
pub const CONTACTS_PER_DATA_CENTRE: usize = 4;
/// How many data centres are known besides the own one.
pub const MAX_DATA_CENTRES: usize = 64;
/// After how many failures in a row a contact is given up, if it is not the last one.
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

/// The known daemons of other data centres.
#[derive(Clone, Debug, Default)]
pub struct ContactTable {
    data_centres: Vec<RemoteDataCentre>,
}

impl ContactTable {
    /// Every contact, sorted by data centre.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.data_centres
            .iter()
            .flat_map(|data_centre| data_centre.contacts.iter().map(|contact| &contact.record))
    }

    /// How many other data centres are known.
    pub fn data_centres(&self) -> usize {
        self.data_centres.len()
    }

    /// Takes a belief about a daemon of another data centre.
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

    /// Takes a host of the platform's list, where too few contacts are known. The list says
    /// nothing of its process, so any other belief replaces this one.
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

    /// The contacts with the configuration version that each told of itself; 0 if it has not yet.
    pub fn versions(&self) -> impl Iterator<Item = (&MemberRecord, ConfigVersion)> {
        self.data_centres
            .iter()
            .flat_map(|data_centre| data_centre.contacts.iter())
            .map(|contact| (&contact.record, contact.reported_version))
    }

    /// Notes that a contact spoke, and the configuration version that it told of itself.
    pub fn record_reply(&mut self, host: &str, version: ConfigVersion) {
        if let Some(contact) = self.find(host) {
            contact.failures = 0;
            contact.reported_version = version;
        }
    }

    /// Notes that a contact did not answer; the last one of its data centre is kept, since it is
    /// the way back after a cut.
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

    /// A random contact of a random other data centre.
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
    /// Adds a contact; a full sample gives up one that fails, or now and then a random one.
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
