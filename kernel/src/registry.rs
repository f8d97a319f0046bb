//! Registry of services by name.

use std::any::Any;
use std::sync::{Arc, PoisonError, RwLock};

use snafu::Snafu;

/// Name of a service, unique within a process.
pub type ServiceName = &'static str;

/// Error of the registry. All kinds are programming errors that surface when the process starts.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum RegistryError {
    /// No service with this name has been published.
    #[snafu(display("find service {name}: not published"))]
    Missing {
        /// Requested service.
        name: ServiceName,
    },
    /// The service was published with a handle of another type.
    #[snafu(display("find service {name}: its handle is not of type {wanted}"))]
    WrongType {
        /// Requested service.
        name: ServiceName,
        /// Requested type of the handle.
        wanted: &'static str,
    },
    /// Another service was published under this name.
    #[snafu(display("publish service {name}: the name is already in use"))]
    Taken {
        /// Name in use.
        name: ServiceName,
    },
}

#[derive(Debug)]
struct ServiceEntry {
    name: ServiceName,
    handle: Box<dyn Any + Send + Sync>,
}

/// Registry of the services of one process.
///
/// A service publishes a handle through which others communicate with it, usually an actor's
/// address. Clones are cheap and share the same entries.
#[derive(Clone, Debug, Default)]
pub struct ServiceRegistry {
    entries: Arc<RwLock<Vec<ServiceEntry>>>,
}

impl ServiceRegistry {
    /// Creates an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Publishes the handle of a service under its name.
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

    /// Returns a clone of the handle of the named service.
    ///
    /// # Errors
    ///
    /// [`RegistryError::Missing`] if no service has the name, [`RegistryError::WrongType`] if its
    /// handle is not a `T`.
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

    /// Returns the names of all services, sorted.
    pub fn names(&self) -> Vec<ServiceName> {
        let entries = self.entries.read().unwrap_or_else(PoisonError::into_inner);
        entries.iter().map(|entry| entry.name).collect()
    }
}
