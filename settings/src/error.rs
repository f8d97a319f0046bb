//! What is wrong with a settings file: every fault, each on one line.

use std::fmt;

/// One fault in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SettingsError {
    /// The file, or the key of the published value.
    pub file: Box<str>,
    /// The line in it, counted from 1.
    pub line: usize,
    /// The path of the field, with a dot between its parts; `(document)` for the whole.
    pub path: Box<str>,
    /// What was found there.
    pub found: Box<str>,
    /// What may stand there.
    pub allowed: Box<str>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            file,
            line,
            path,
            found,
            allowed,
        } = self;
        write!(
            f,
            "{file}:{line}: {path}: found {found}; allowed: {allowed}"
        )
    }
}

impl std::error::Error for SettingsError {}

/// All faults of one settings file, sorted by line; never empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsErrors {
    errors: Vec<SettingsError>,
}

impl SettingsErrors {
    /// The faults, sorted by line.
    pub fn errors(&self) -> &[SettingsError] {
        &self.errors
    }
}

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, error) in self.errors.iter().enumerate() {
            if position > 0 {
                writeln!(f)?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsErrors {}

/// Collects the faults of one file, so that the first one does not hide the rest.
#[derive(Debug)]
pub(crate) struct ErrorList {
    file: Box<str>,
    errors: Vec<SettingsError>,
}

impl ErrorList {
    /// An empty list for the file of that name.
    pub(crate) fn new(file: &str) -> Self {
        Self {
            file: file.into(),
            errors: Vec::new(),
        }
    }

    /// Adds a fault; one that is already listed is not added again.
    pub(crate) fn add(
        &mut self,
        line: usize,
        path: &str,
        found: impl Into<Box<str>>,
        allowed: impl Into<Box<str>>,
    ) {
        let error = SettingsError {
            file: self.file.clone(),
            line,
            path: path.into(),
            found: found.into(),
            allowed: allowed.into(),
        };
        if !self.errors.contains(&error) {
            self.errors.push(error);
        }
    }

    /// The faults, sorted by line; there may be none.
    pub(crate) fn into_errors(mut self) -> Vec<SettingsError> {
        self.errors.sort();
        self.errors
    }

    /// The value if there was no fault, all faults otherwise.
    pub(crate) fn finish<T>(mut self, value: Option<T>) -> Result<T, SettingsErrors> {
        if let (Some(value), true) = (value, self.errors.is_empty()) {
            return Ok(value);
        }
        assert!(
            !self.errors.is_empty(),
            "a document without a value has at least one fault"
        );
        self.errors.sort();
        Err(SettingsErrors {
            errors: self.errors,
        })
    }
}
