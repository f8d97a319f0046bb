//! The table that describes a settings document: each field's name, kind, range and default.
//!
//! One table serves the reader, the faults' texts, `yuccalift explain` and the help, so that they
//! cannot say different things.

use std::net::SocketAddr;
use std::time::Duration;

/// One field of a document.
#[derive(Clone, Copy, Debug)]
pub struct FieldSpec {
    /// Its path, with a dot between the parts.
    pub name: &'static str,
    /// What may stand there.
    pub kind: FieldKind,
    /// What is in force where it is absent.
    pub default: FieldDefault,
    /// What it is for, in one line.
    pub help: &'static str,
}

/// What may stand in a field.
#[derive(Clone, Copy, Debug)]
pub enum FieldKind {
    /// The name of a host, data centre, collection or template.
    Name,
    /// A list of such names, none twice, at least one.
    NameList,
    /// Text of so many bytes.
    Text {
        /// The fewest bytes.
        min: usize,
        /// The most bytes.
        max: usize,
    },
    /// One of these words.
    Choice(&'static [&'static str]),
    /// A whole number with a unit.
    Duration {
        /// The shortest.
        min: Duration,
        /// The longest.
        max: Duration,
    },
    /// A whole number.
    Integer {
        /// The least.
        min: u64,
        /// The greatest.
        max: u64,
    },
    /// A decimal number from 0 up.
    Share {
        /// The greatest.
        max: f64,
    },
    /// An IP address and port to listen on; port 0 lets the system choose one.
    Listen,
    /// An IP address and port to connect to.
    Address,
    /// A list of such addresses, none twice.
    AddressList {
        /// The fewest entries.
        min: usize,
    },
}

/// What is in force where a field is absent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FieldDefault {
    /// The field must be given.
    Required,
    /// Nothing is in force.
    Absent,
    /// This value, written as in a document.
    Value(&'static str),
    /// A value that follows from other fields, in words.
    Derived(&'static str),
}

/// A value that a field may have.
#[derive(Clone, Debug, PartialEq)]
pub enum FieldValue {
    /// Of [`FieldKind::Name`], [`FieldKind::Text`] and [`FieldKind::Choice`].
    Text(Box<str>),
    /// Of [`FieldKind::NameList`], sorted.
    Names(Vec<Box<str>>),
    /// Of [`FieldKind::Duration`].
    Duration(Duration),
    /// Of [`FieldKind::Integer`].
    Integer(u64),
    /// Of [`FieldKind::Share`].
    Share(f64),
    /// Of [`FieldKind::Listen`] and [`FieldKind::Address`].
    Address(SocketAddr),
    /// Of [`FieldKind::AddressList`], in the order of the file.
    Addresses(Vec<SocketAddr>),
}
