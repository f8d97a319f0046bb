//! Errors in settings documents. All errors of a document are reported, one per line of output.

use std::fmt;

/// An error in a settings document.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SettingsError {
    /// File name, or key of the published value.
    pub file: Box<str>,
    /// Line number in the document, counted from 1.
    pub line: usize,
    /// Path of the field, separated by dots; `(document)` for the whole document.
    pub path: Box<str>,
    /// Description of the value that was found.
    pub found: Box<str>,
    /// Description of the values that are allowed.
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

/// All errors of a document, sorted by line; never empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsErrors {
    errors: Vec<SettingsError>,
}

impl SettingsErrors {
    /// Returns the errors, sorted by line.
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

/// Collects the errors of a document, so that the first one does not hide the others.
#[derive(Debug)]
pub(crate) struct ErrorList {
    file: Box<str>,
    errors: Vec<SettingsError>,
}

impl ErrorList {
    /// Creates an empty list for the file or published key `file`.
    pub(crate) fn new(file: &str) -> Self {
        Self {
            file: file.into(),
            errors: Vec::new(),
        }
    }

    /// Adds an error unless the list already contains it.
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

    /// Returns the errors, sorted by line; the list may be empty.
    pub(crate) fn into_errors(mut self) -> Vec<SettingsError> {
        self.errors.sort();
        self.errors
    }

    /// Returns `value` if there were no errors, and all errors otherwise.
    pub(crate) fn finish<T>(mut self, value: Option<T>) -> Result<T, SettingsErrors> {
        if let (Some(value), true) = (value, self.errors.is_empty()) {
            return Ok(value);
        }
        assert!(
            !self.errors.is_empty(),
            "a document without a value has at least one error"
        );
        self.errors.sort();
        Err(SettingsErrors {
            errors: self.errors,
        })
    }
}
