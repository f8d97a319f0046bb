//! Reading one field's value, and writing it the way that it is read.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use crate::document::{DocumentNode, NodeValue, quote};
use crate::field::{FieldKind, FieldValue};

/// The most bytes of a name.
const MAX_NAME_BYTES: usize = 63;

/// The units of a duration, the longest first, with their milliseconds.
const DURATION_UNITS: [(&str, u64); 4] = [("h", 3_600_000), ("m", 60_000), ("s", 1_000), ("ms", 1)];

/// Why a value may not stand in a field; the line is that of the offending part.
#[derive(Debug)]
pub(crate) struct ValueFault {
    pub(crate) line: usize,
    pub(crate) found: Box<str>,
}

impl FieldKind {
    /// What may stand in such a field, in words.
    pub fn allowed(&self) -> Box<str> {
        match self {
            Self::Name => name_rule().into(),
            Self::NameList => {
                format!("a list of at least one, none twice, each {}", name_rule()).into()
            }
            Self::Text { min, max } => format!("text of {min} to {max} bytes").into(),
            Self::Choice(words) => format!("one of {}", words.join(", ")).into(),
            Self::Duration { min, max } => {
                let (min, max) = (write_duration(*min), write_duration(*max));
                format!("a whole number with ms, s, m or h, from {min} to {max}").into()
            }
            Self::Integer { min, max } => format!("a whole number from {min} to {max}").into(),
            Self::Share { max } => format!("a number from 0 to {max}").into(),
            Self::Listen => "IP:PORT, such as 127.0.0.1:7100; port 0 for any free one".into(),
            Self::Address => address_rule().into(),
            Self::AddressList { min } => format!(
                "a list of at least {min}, none twice, each {}",
                address_rule()
            )
            .into(),
        }
    }

    /// Reads a value of this kind.
    pub(crate) fn read(&self, node: &DocumentNode) -> Result<FieldValue, ValueFault> {
        match (self, &node.value) {
            (Self::NameList, NodeValue::List(nodes)) => read_names(node, nodes),
            (Self::AddressList { min }, NodeValue::List(nodes)) => {
                read_addresses(node, nodes, *min)
            }
            (Self::NameList | Self::AddressList { .. }, other) => {
                Err(fault(node, other.describe()))
            }
            (_, NodeValue::Scalar(text)) => self
                .read_scalar(text)
                .ok_or_else(|| fault(node, self.describe_found(text))),
            (_, other) => Err(fault(node, other.describe())),
        }
    }

    /// What was found, in words; free text may be a secret and is not repeated.
    fn describe_found(&self, text: &str) -> Box<str> {
        match self {
            Self::Text { .. } => format!("text of {} bytes", text.len()).into(),
            _ => quote(text),
        }
    }

    /// Reads a value of a kind that is not a list.
    pub(crate) fn read_scalar(&self, text: &str) -> Option<FieldValue> {
        match self {
            Self::Name => is_name(text).then(|| FieldValue::Text(text.into())),
            Self::Text { min, max } => (*min..=*max)
                .contains(&text.len())
                .then(|| FieldValue::Text(text.into())),
            Self::Choice(words) => words.contains(&text).then(|| FieldValue::Text(text.into())),
            Self::Duration { min, max } => read_duration(text)
                .filter(|value| (*min..=*max).contains(value))
                .map(FieldValue::Duration),
            Self::Integer { min, max } => read_integer(text)
                .filter(|value| (*min..=*max).contains(value))
                .map(FieldValue::Integer),
            Self::Share { max } => text
                .parse()
                .ok()
                .filter(|value| (0.0..=*max).contains(value))
                .map(FieldValue::Share),
            Self::Listen => text.parse().ok().map(FieldValue::Address),
            Self::Address => read_address(text).map(FieldValue::Address),
            Self::NameList | Self::AddressList { .. } => None,
        }
    }
}

impl fmt::Display for FieldValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Text(text) => f.write_str(text),
            Self::Names(names) => write!(f, "[{}]", names.join(", ")),
            Self::Duration(duration) => f.write_str(&write_duration(*duration)),
            Self::Integer(number) => write!(f, "{number}"),
            Self::Share(share) => write!(f, "{share}"),
            Self::Address(address) => write!(f, "{address}"),
            Self::Addresses(addresses) => {
                let texts: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
                write!(f, "[{}]", texts.join(", "))
            }
        }
    }
}

/// Writes a duration the way that it is read, in the greatest unit that keeps it whole.
pub fn write_duration(duration: Duration) -> String {
    let millis = duration.as_millis() as u64;
    for (unit, unit_millis) in DURATION_UNITS {
        if millis >= unit_millis && millis.is_multiple_of(unit_millis) {
            return format!("{}{unit}", millis / unit_millis);
        }
    }
    "0ms".to_owned()
}

/// Reads a duration such as `50ms`, `2s`, `5m` or `8h`; a bare number has no unit and is refused.
fn read_duration(text: &str) -> Option<Duration> {
    let digits = text.find(|letter: char| !letter.is_ascii_digit())?;
    let (number, unit) = text.split_at(digits);
    let (_, unit_millis) = DURATION_UNITS.iter().find(|(name, _)| *name == unit)?;
    let millis = read_integer(number)?.checked_mul(*unit_millis)?;
    Some(Duration::from_millis(millis))
}

/// Reads digits alone; the standard parser would also take a sign.
fn read_integer(text: &str) -> Option<u64> {
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    text.parse().ok()
}

fn read_address(text: &str) -> Option<SocketAddr> {
    let address: SocketAddr = text.parse().ok()?;
    (address.port() != 0 && !address.ip().is_unspecified()).then_some(address)
}

fn read_names(list: &DocumentNode, nodes: &[DocumentNode]) -> Result<FieldValue, ValueFault> {
    let mut names = Vec::with_capacity(nodes.len());
    for node in nodes {
        match &node.value {
            NodeValue::Scalar(text) if is_name(text) => {
                insert_once(&mut names, text.clone(), node)?;
            }
            other => return Err(fault(node, other.describe())),
        }
    }
    if names.is_empty() {
        return Err(fault(list, "an empty list".into()));
    }
    Ok(FieldValue::Names(names))
}

fn insert_once(
    names: &mut Vec<Box<str>>,
    name: Box<str>,
    node: &DocumentNode,
) -> Result<(), ValueFault> {
    match names.binary_search(&name) {
        Ok(_) => Err(fault(node, format!("{} twice", quote(&name)).into())),
        Err(position) => {
            names.insert(position, name);
            Ok(())
        }
    }
}

fn read_addresses(
    list: &DocumentNode,
    nodes: &[DocumentNode],
    min: usize,
) -> Result<FieldValue, ValueFault> {
    let mut addresses = Vec::with_capacity(nodes.len());
    for node in nodes {
        let address = match &node.value {
            NodeValue::Scalar(text) => read_address(text),
            _ => None,
        };
        let Some(address) = address else {
            return Err(fault(node, node.value.describe()));
        };
        if addresses.contains(&address) {
            return Err(fault(node, format!("`{address}` twice").into()));
        }
        addresses.push(address);
    }
    if addresses.len() < min {
        return Err(fault(list, format!("{} entries", addresses.len()).into()));
    }
    Ok(FieldValue::Addresses(addresses))
}

fn fault(node: &DocumentNode, found: Box<str>) -> ValueFault {
    ValueFault {
        line: node.line,
        found,
    }
}

/// Whether a text may be a name; these letters need no quoting in logs, metrics and addresses.
pub(crate) fn is_name(text: &str) -> bool {
    let first = text.bytes().next();
    first.is_some_and(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit())
        && text.len() <= MAX_NAME_BYTES
        && text
            .bytes()
            .all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-')
}

/// The rule of [`is_name`], in words.
pub(crate) fn name_rule() -> &'static str {
    "1 to 63 of a-z, 0-9 and -, not - first"
}

fn address_rule() -> &'static str {
    "IP:PORT, such as 127.0.0.1:7100, with an IP and port that can be connected to"
}
