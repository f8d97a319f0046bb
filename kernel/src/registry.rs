//! The table of services by name.

use std::any::Any;
use std::sync::{Arc, PoisonError, RwLock};

use snafu::Snafu;

/// The name of a service, unique within a process.
pub type ServiceName = &'static str;

/// A look-up that failed; both kinds are mistakes of the program, found at its start.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum RegistryError {
    /// No service of the name has been published.
    #[snafu(display("find service {name}: none is published"))]
    Missing {
        /// The name.
        name: ServiceName,
    },
    /// The service has a handle of another type.
    #[snafu(display("find service {name}: its handle is not a {wanted}"))]
    WrongType {
        /// The name.
        name: ServiceName,
        /// The type that was asked for.
        wanted: &'static str,
    },
    /// Another service has the name.
    #[snafu(display("publish service {name}: the name is taken"))]
    Taken {
        /// The name.
        name: ServiceName,
    },
}

#[derive(Debug)]
struct ServiceEntry {
    name: ServiceName,
    handle: Box<dyn Any + Send + Sync>,
}

/// The services of one process, each found by its name.
///
/// A handle is what the others need to talk to the service, usually an actor's address. The
/// registry is cheap to clone; all clones are the same table.
#[derive(Clone, Debug, Default)]
pub struct ServiceRegistry {
    entries: Arc<RwLock<Vec<ServiceEntry>>>,
}

impl ServiceRegistry {
    /// Makes an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Puts a service's handle under its name.
    ///
    /// # Errors
    ///
    /// [`RegistryError::Taken`] if the name is in use.
    pub fn publish<T: Any + Send + Sync>(
        &self,
        name: ServiceName,
        handle: T,
    ) -> Result<(), RegistryError> {
        let mut entries = self.entries.write().unwrap_or_else(PoisonError::into_inner);
        match entries.binary_search_by_key(&name, |entry| entry.name) {
            Ok(_) => TakenSnafu { name }.fail(),
            Err(position) => {
                entries.insert(
                    position,
                    ServiceEntry {
                        name,
                        handle: Box::new(handle),
                    },
                );
                Ok(())
            }
        }
    }

    /// A clone of the handle of the named service.
    ///
    /// # Errors
    ///
    /// [`RegistryError::Missing`] if none is published, [`RegistryError::WrongType`] if its handle
    /// is not a `T`.
    pub fn find<T: Any + Clone>(&self, name: ServiceName) -> Result<T, RegistryError> {
        let entries = self.entries.read().unwrap_or_else(PoisonError::into_inner);
        let position = entries
            .binary_search_by_key(&name, |entry| entry.name)
            .map_err(|_position| RegistryError::Missing { name })?;
        entries[position]
            .handle
            .downcast_ref::<T>()
            .cloned()
            .ok_or(RegistryError::WrongType {
                name,
                wanted: std::any::type_name::<T>(),
            })
    }

    /// The names of all services, sorted.
    pub fn names(&self) -> Vec<ServiceName> {
        let entries = self.entries.read().unwrap_or_else(PoisonError::into_inner);
        entries.iter().map(|entry| entry.name).collect()
    }
}
