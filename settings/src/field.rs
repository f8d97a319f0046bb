//! Field tables, which describe the name, kind, range and default of each field of a document.
//!
//! The parser, the error messages, `yuccalift explain` and the help texts all use the same table,
//! so that they cannot contradict each other.

use std::net::SocketAddr;
use std::time::Duration;

/// Description of a field of a settings document.
#[derive(Clone, Copy, Debug)]
pub struct FieldSpec {
    /// Path of the field, separated by dots.
    pub name: &'static str,
    /// Type and range of the values that the field accepts.
    pub kind: FieldKind,
    /// Value in effect if the document does not set the field.
    pub default: FieldDefault,
    /// Purpose of the field, in one line.
    pub help: &'static str,
}

/// Type and range of the values that a field accepts.
#[derive(Clone, Copy, Debug)]
pub enum FieldKind {
    /// Name of a host, data centre, collection or template.
    Name,
    /// Non-empty list of distinct names.
    NameList,
    /// Free text.
    Text {
        /// Minimum length in bytes.
        min: usize,
        /// Maximum length in bytes.
        max: usize,
    },
    /// One of the given words.
    Choice(&'static [&'static str]),
    /// Decimal number with a unit of time.
    Duration {
        /// Shortest allowed duration.
        min: Duration,
        /// Longest allowed duration.
        max: Duration,
    },
    /// Non-negative whole number.
    Integer {
        /// Smallest allowed number.
        min: u64,
        /// Largest allowed number.
        max: u64,
    },
    /// Non-negative decimal number.
    Number {
        /// Smallest allowed number.
        min: f64,
        /// Largest allowed number.
        max: f64,
    },
    /// IP address and port to listen on; with port 0 the system assigns a port.
    Listen,
    /// IP address and port to connect to.
    Address,
    /// List of distinct addresses to connect to.
    AddressList {
        /// Minimum number of addresses.
        min: usize,
    },
}

/// Value in effect for a field that the document does not set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FieldDefault {
    /// None: the document must set the field.
    Required,
    /// None: the field is optional.
    Absent,
    /// A fixed value, written as in a document.
    Value(&'static str),
    /// A value computed from other fields; the text describes the rule.
    Derived(&'static str),
}

/// Value of a field.
#[derive(Clone, Debug, PartialEq)]
pub enum FieldValue {
    /// Value of a [`FieldKind::Name`], [`FieldKind::Text`] or [`FieldKind::Choice`].
    Text(Box<str>),
    /// Value of a [`FieldKind::NameList`], sorted.
    Names(Vec<Box<str>>),
    /// Value of a [`FieldKind::Duration`].
    Duration(Duration),
    /// Value of a [`FieldKind::Integer`].
    Integer(u64),
    /// Value of a [`FieldKind::Number`].
    Number(f64),
    /// Value of a [`FieldKind::Listen`] or [`FieldKind::Address`].
    Address(SocketAddr),
    /// Value of a [`FieldKind::AddressList`], in document order.
    Addresses(Vec<SocketAddr>),
}
