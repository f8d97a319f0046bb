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
    heard_version: ConfigVersion,
}

#[derive(Clone, Debug)]
struct RemoteCentre {
    name: DataCentreName,
    contacts: Vec<ContactEntry>,
}

/// The known daemons of other data centres.
#[derive(Clone, Debug, Default)]
pub struct ContactTable {
    centres: Vec<RemoteCentre>,
}

impl ContactTable {
    /// Every contact, sorted by data centre.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.centres
            .iter()
            .flat_map(|centre| centre.contacts.iter().map(|contact| &contact.record))
    }

    /// How many other data centres are known.
    pub fn data_centres(&self) -> usize {
        self.centres.len()
    }

    /// Takes a belief about a daemon of another data centre.
    pub fn merge(&mut self, record: &MemberRecord, rng: &mut impl Rng) {
        let Some(centre) = self.centre(&record.data_centre) else {
            return;
        };
        let known = centre
            .contacts
            .iter()
            .position(|contact| contact.record.host == record.host);
        if let Some(position) = known {
            if record.supersedes(&centre.contacts[position].record) {
                centre.contacts[position].record = record.clone();
                centre.contacts[position].failures = 0;
            }
        } else if matches!(record.state, MemberState::Alive | MemberState::Suspect) {
            centre.add(record, rng);
        }
        centre.drop_ended();
    }

    /// Takes a host of the platform's list, where too few contacts are known. The list says
    /// nothing of its process, so any other belief replaces this one.
    pub fn hint(&mut self, hint: &ListedHost) {
        let Some(centre) = self.centre(&hint.data_centre) else {
            return;
        };
        let is_known = centre
            .contacts
            .iter()
            .any(|contact| contact.record.host == hint.host);
        if is_known || centre.contacts.len() >= CONTACTS_PER_DATA_CENTRE {
            return;
        }
        let record = MemberRecord {
            host: hint.host.clone(),
            data_centre: hint.data_centre.clone(),
            address: hint.address,
            incarnation: 0,
            refutation: 0,
            state: MemberState::Alive,
        };
        centre.contacts.push(ContactEntry {
            record,
            failures: 0,
            heard_version: 0,
        });
    }

    /// The contacts with the configuration version that each told of itself; 0 if it has not yet.
    pub fn versions(&self) -> impl Iterator<Item = (&MemberRecord, ConfigVersion)> {
        self.centres
            .iter()
            .flat_map(|centre| centre.contacts.iter())
            .map(|contact| (&contact.record, contact.heard_version))
    }

    /// Notes that a contact spoke, and the configuration version that it told of itself.
    pub fn answered(&mut self, host: &str, version: ConfigVersion) {
        if let Some(contact) = self.find(host) {
            contact.failures = 0;
            contact.heard_version = version;
        }
    }

    /// Notes that a contact did not answer; the last one of its data centre is kept, since it is
    /// the way back after a cut.
    pub fn failed(&mut self, host: &str) {
        if let Some(contact) = self.find(host) {
            contact.failures += 1;
        }
        for centre in &mut self.centres {
            if centre.contacts.len() > 1 {
                centre
                    .contacts
                    .retain(|contact| contact.failures < MAX_FAILURES);
            }
        }
    }

    /// A random contact of a random other data centre.
    pub fn choose(&self, rng: &mut impl Rng) -> Option<&MemberRecord> {
        let centre = self.centres.choose(rng)?;
        let contact = centre.contacts.choose(rng)?;
        Some(&contact.record)
    }

    fn find(&mut self, host: &str) -> Option<&mut ContactEntry> {
        self.centres
            .iter_mut()
            .flat_map(|centre| centre.contacts.iter_mut())
            .find(|contact| contact.record.host.as_ref() == host)
    }

    fn centre(&mut self, name: &DataCentreName) -> Option<&mut RemoteCentre> {
        let position = match self
            .centres
            .binary_search_by(|centre| centre.name.cmp(name))
        {
            Ok(position) => position,
            Err(_) if self.centres.len() >= MAX_DATA_CENTRES => return None,
            Err(position) => {
                let centre = RemoteCentre {
                    name: name.clone(),
                    contacts: Vec::new(),
                };
                self.centres.insert(position, centre);
                position
            }
        };
        self.centres.get_mut(position)
    }
}

impl RemoteCentre {
    /// Adds a contact; a full sample gives up one that fails, or now and then a random one.
    fn add(&mut self, record: &MemberRecord, rng: &mut impl Rng) {
        let entry = ContactEntry {
            record: record.clone(),
            failures: 0,
            heard_version: 0,
        };
        if self.contacts.len() < CONTACTS_PER_DATA_CENTRE {
            self.contacts.push(entry);
            return;
        }
        let failing = self
            .contacts
            .iter()
            .position(|contact| contact.failures > 0);
        let replaced = failing.unwrap_or_else(|| rng.random_range(0..self.contacts.len()));
        self.contacts[replaced] = entry;
    }

    fn drop_ended(&mut self) {
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
