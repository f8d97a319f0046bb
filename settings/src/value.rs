//! Parses field values, and formats them the way they are parsed.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use crate::document::{DocumentNode, NodeValue, quote};
use crate::field::{FieldKind, FieldValue};

/// Maximum length of a name in bytes.
const MAX_NAME_BYTES: usize = 63;

/// Units of duration and their length in milliseconds, longest first.
const DURATION_UNITS: [(&str, u64); 4] = [("h", 3_600_000), ("m", 60_000), ("s", 1_000), ("ms", 1)];

/// An invalid field value; `line` is that of the offending part.
#[derive(Debug)]
pub(crate) struct ValueError {
    pub(crate) line: usize,
    pub(crate) found: Box<str>,
}

impl FieldKind {
    /// Describes the values that a field of this kind accepts.
    pub fn allowed(&self) -> Box<str> {
        match self {
            Self::Name => name_rule().into(),
            Self::NameList => {
                format!("a list of 1 or more distinct names, each {}", name_rule()).into()
            }
            Self::Text { min, max } => format!("text of {min} to {max} bytes").into(),
            Self::Choice(words) => format!("one of {}", words.join(", ")).into(),
            Self::Duration { min, max } => {
                let (min, max) = (format_duration(*min), format_duration(*max));
                format!("a number with a unit (ms, s, m or h), from {min} to {max}").into()
            }
            Self::Integer { min, max } => format!("a whole number from {min} to {max}").into(),
            Self::Number { min, max } => format!("a number from {min} to {max}").into(),
            Self::Listen => "IP:PORT, such as 127.0.0.1:7100; port 0 picks a free port".into(),
            Self::Address => address_rule().into(),
            Self::AddressList { min } => format!(
                "a list of {min} or more distinct addresses, each {}",
                address_rule()
            )
            .into(),
        }
    }

    /// Parses a value of this kind.
    pub(crate) fn read(&self, node: &DocumentNode) -> Result<FieldValue, ValueError> {
        match (self, &node.value) {
            (Self::NameList, NodeValue::List(nodes)) => parse_names(node, nodes),
            (Self::AddressList { min }, NodeValue::List(nodes)) => {
                parse_addresses(node, nodes, *min)
            }
            (Self::NameList | Self::AddressList { .. }, other) => {
                Err(value_error(node, other.describe()))
            }
            (_, NodeValue::Scalar(text)) => self
                .parse_scalar(text)
                .ok_or_else(|| value_error(node, self.describe_invalid(text))),
            (_, other) => Err(value_error(node, other.describe())),
        }
    }

    /// Describes an invalid value. Free text may be a secret, so only its length is shown.
    fn describe_invalid(&self, text: &str) -> Box<str> {
        match self {
            Self::Text { .. } => format!("text of {} bytes", text.len()).into(),
            _ => quote(text),
        }
    }

    /// Parses a value of a kind that is not a list.
    pub(crate) fn parse_scalar(&self, text: &str) -> Option<FieldValue> {
        match self {
            Self::Name => is_name(text).then(|| FieldValue::Text(text.into())),
            Self::Text { min, max } => (*min..=*max)
                .contains(&text.len())
                .then(|| FieldValue::Text(text.into())),
            Self::Choice(words) => words.contains(&text).then(|| FieldValue::Text(text.into())),
            Self::Duration { min, max } => parse_duration(text)
                .filter(|value| (*min..=*max).contains(value))
                .map(FieldValue::Duration),
            Self::Integer { min, max } => parse_integer(text)
                .filter(|value| (*min..=*max).contains(value))
                .map(FieldValue::Integer),
            Self::Number { min, max } => parse_number(text)
                .filter(|value| (*min..=*max).contains(value))
                .map(FieldValue::Number),
            Self::Listen => text.parse().ok().map(FieldValue::Address),
            Self::Address => parse_address(text).map(FieldValue::Address),
            Self::NameList | Self::AddressList { .. } => None,
        }
    }
}

impl fmt::Display for FieldValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Text(text) => f.write_str(text),
            Self::Names(names) => write!(f, "[{}]", names.join(", ")),
            Self::Duration(duration) => f.write_str(&format_duration(*duration)),
            Self::Integer(number) => write!(f, "{number}"),
            Self::Number(number) => write!(f, "{number}"),
            Self::Address(address) => write!(f, "{address}"),
            Self::Addresses(addresses) => {
                let texts: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
                write!(f, "[{}]", texts.join(", "))
            }
        }
    }
}

/// Formats a duration the way it is parsed, in the largest unit that divides it evenly.
pub fn format_duration(duration: Duration) -> String {
    let millis = duration.as_millis() as u64;
    for (unit, unit_millis) in DURATION_UNITS {
        if millis >= unit_millis && millis.is_multiple_of(unit_millis) {
            return format!("{}{unit}", millis / unit_millis);
        }
    }
    "0ms".to_owned()
}

/// Parses a duration such as `50ms`, `2s`, `6.5s` or `8h`, and rounds it to whole milliseconds; a
/// number without a unit is rejected.
fn parse_duration(text: &str) -> Option<Duration> {
    let number = text.trim_end_matches(|letter: char| letter.is_ascii_alphabetic());
    let (_, unit_millis) = DURATION_UNITS
        .iter()
        .find(|(name, _)| *name == &text[number.len()..])?;
    let millis = parse_number(number)? * *unit_millis as f64;
    Some(Duration::from_millis(millis.round() as u64))
}

/// Parses a decimal number, with an exponent or without; the standard parser would also accept a
/// sign and the names of numbers that are not finite.
fn parse_number(text: &str) -> Option<f64> {
    if !text.starts_with(|letter: char| letter.is_ascii_digit() || letter == '.') {
        return None;
    }
    let number: f64 = text.parse().ok()?;
    number.is_finite().then_some(number)
}

/// Parses a number that consists of digits only; the standard parser would also accept a sign.
fn parse_integer(text: &str) -> Option<u64> {
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    text.parse().ok()
}

fn parse_address(text: &str) -> Option<SocketAddr> {
    let address: SocketAddr = text.parse().ok()?;
    (address.port() != 0 && !address.ip().is_unspecified()).then_some(address)
}

fn parse_names(list: &DocumentNode, nodes: &[DocumentNode]) -> Result<FieldValue, ValueError> {
    let mut names = Vec::with_capacity(nodes.len());
    for node in nodes {
        match &node.value {
            NodeValue::Scalar(text) if is_name(text) => {
                insert_unique(&mut names, text.clone(), node)?;
            }
            other => return Err(value_error(node, other.describe())),
        }
    }
    if names.is_empty() {
        return Err(value_error(list, "an empty list".into()));
    }
    Ok(FieldValue::Names(names))
}

fn insert_unique(
    names: &mut Vec<Box<str>>,
    name: Box<str>,
    node: &DocumentNode,
) -> Result<(), ValueError> {
    match names.binary_search(&name) {
        Ok(_) => Err(value_error(node, format!("{} twice", quote(&name)).into())),
        Err(position) => {
            names.insert(position, name);
            Ok(())
        }
    }
}

fn parse_addresses(
    list: &DocumentNode,
    nodes: &[DocumentNode],
    min: usize,
) -> Result<FieldValue, ValueError> {
    let mut addresses = Vec::with_capacity(nodes.len());
    for node in nodes {
        let address = match &node.value {
            NodeValue::Scalar(text) => parse_address(text),
            _ => None,
        };
        let Some(address) = address else {
            return Err(value_error(node, node.value.describe()));
        };
        if addresses.contains(&address) {
            return Err(value_error(node, format!("`{address}` twice").into()));
        }
        addresses.push(address);
    }
    if addresses.len() < min {
        return Err(value_error(
            list,
            format!("{} entries", addresses.len()).into(),
        ));
    }
    Ok(FieldValue::Addresses(addresses))
}

fn value_error(node: &DocumentNode, found: Box<str>) -> ValueError {
    ValueError {
        line: node.line,
        found,
    }
}

/// Returns whether the text is a valid name. The allowed characters need no quoting in logs,
/// metrics and addresses.
pub(crate) fn is_name(text: &str) -> bool {
    let first = text.bytes().next();
    first.is_some_and(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit())
        && text.len() <= MAX_NAME_BYTES
        && text
            .bytes()
            .all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-')
}

/// Describes the rule that [`is_name`] checks.
pub(crate) fn name_rule() -> &'static str {
    "1 to 63 characters of a-z, 0-9 and -, not starting with -"
}

fn address_rule() -> &'static str {
    "IP:PORT, such as 127.0.0.1:7100, with an IP and port that can be connected to"
}
