//! A YAML document as a tree whose nodes know their lines.
//!
//! The tree is built from the parser's events, not by a deserializer, since a deserializer stops at
//! the first fault and the reader needs all of them. Anchors, aliases and tags are refused: a value
//! in force must stand where the operator reads it.

use yaml_rust2::parser::{Event, Parser};
use yaml_rust2::scanner::{Marker, TScalarStyle};

use crate::error::ErrorList;

/// The path that stands for a whole document in a fault.
pub(crate) const WHOLE_DOCUMENT: &str = "(document)";

/// How deep mappings and lists may be nested; a published value must not exhaust the stack.
const MAX_DEPTH: usize = 16;

/// The greatest size of a document, in bytes; the platform holds no larger values.
const MAX_DOCUMENT_BYTES: usize = 1024 * 1024;

/// A node of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct DocumentNode {
    /// The line on which it begins.
    pub(crate) line: usize,
    /// What it is.
    pub(crate) value: NodeValue,
}

/// What a node is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum NodeValue {
    /// Nothing stands there.
    Null,
    /// Text, also of numbers.
    Scalar(Box<str>),
    /// A list.
    List(Vec<DocumentNode>),
    /// A mapping, in the order of the file.
    Mapping(Vec<MappingEntry>),
}

/// A key of a mapping with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct MappingEntry {
    /// The key.
    pub(crate) key: Box<str>,
    /// The key's line.
    pub(crate) line: usize,
    /// The value.
    pub(crate) node: DocumentNode,
}

impl NodeValue {
    /// The value in a few words, for faults.
    pub(crate) fn describe(&self) -> Box<str> {
        match self {
            Self::Null => "nothing".into(),
            Self::Scalar(text) => quote(text),
            Self::List(_) => "a list".into(),
            Self::Mapping(_) => "a mapping".into(),
        }
    }
}

/// Text between backquotes on one line, cut where it is long.
pub(crate) fn quote(text: &str) -> Box<str> {
    const MAX_CHARS: usize = 60;
    let mut short: String = text
        .chars()
        .take(MAX_CHARS)
        .flat_map(char::escape_debug)
        .collect();
    if text.chars().count() > MAX_CHARS {
        short.push_str("...");
    }
    format!("`{short}`").into()
}

/// Reads a document whose root is a mapping; faults go to `errors`, keys that stand twice too.
pub(crate) fn load_mapping(text: &str, errors: &mut ErrorList) -> Option<Vec<MappingEntry>> {
    if text.len() > MAX_DOCUMENT_BYTES {
        let found = format!("{} bytes", text.len());
        let allowed = format!("at most {MAX_DOCUMENT_BYTES} bytes");
        errors.add(1, WHOLE_DOCUMENT, found, allowed);
        return None;
    }
    let root = DocumentLoader::new(errors).load(text)?;
    match root.value {
        NodeValue::Mapping(entries) => {
            check_duplicates(&entries, "", errors);
            Some(entries)
        }
        other => {
            errors.add(
                root.line,
                WHOLE_DOCUMENT,
                other.describe(),
                "a mapping of fields",
            );
            None
        }
    }
}

/// The path of a field below another one.
pub(crate) fn join_path(parent: &str, key: &str) -> Box<str> {
    if parent.is_empty() {
        return key.into();
    }
    format!("{parent}.{key}").into()
}

fn check_duplicates(entries: &[MappingEntry], parent: &str, errors: &mut ErrorList) {
    let mut seen: Vec<(&str, usize)> = Vec::with_capacity(entries.len());
    for entry in entries {
        let path = join_path(parent, &entry.key);
        match seen.binary_search_by(|(key, _)| (*key).cmp(entry.key.as_ref())) {
            Ok(position) => {
                let found = format!("the name again, first on line {}", seen[position].1);
                errors.add(entry.line, &path, found, "each name once");
            }
            Err(position) => seen.insert(position, (entry.key.as_ref(), entry.line)),
        }
        if let NodeValue::Mapping(children) = &entry.node.value {
            check_duplicates(children, &path, errors);
        }
    }
}

/// A mapping or list whose end has not been read.
enum OpenNode {
    List {
        line: usize,
        nodes: Vec<DocumentNode>,
    },
    Mapping {
        line: usize,
        entries: Vec<MappingEntry>,
        key: Option<(Box<str>, usize)>,
    },
}

/// Builds the tree from the parser's events, without recursion.
struct DocumentLoader<'a> {
    open: Vec<OpenNode>,
    root: Option<DocumentNode>,
    errors: &'a mut ErrorList,
}

impl<'a> DocumentLoader<'a> {
    fn new(errors: &'a mut ErrorList) -> Self {
        Self {
            open: Vec::new(),
            root: None,
            errors,
        }
    }

    fn load(mut self, text: &str) -> Option<DocumentNode> {
        let mut parser = Parser::new_from_str(text);
        let mut documents = 0_usize;
        loop {
            let (event, marker) = match parser.next_token() {
                Ok(token) => token,
                Err(error) => {
                    let line = error.marker().line();
                    self.errors
                        .add(line, WHOLE_DOCUMENT, error.info(), "well-formed YAML");
                    return None;
                }
            };
            match event {
                Event::StreamEnd => break,
                Event::DocumentStart => documents += 1,
                Event::Nothing | Event::StreamStart | Event::DocumentEnd => {}
                other => self.take(other, marker)?,
            }
            if documents > 1 {
                self.refuse(marker, "a second document", "one document");
                return None;
            }
        }
        if self.root.is_none() {
            self.errors
                .add(1, WHOLE_DOCUMENT, "nothing", "a mapping of fields");
        }
        self.root
    }

    /// Takes one event of the tree; none where the rest cannot be read.
    fn take(&mut self, event: Event, marker: Marker) -> Option<()> {
        let line = marker.line();
        match event {
            Event::Alias(_) => {
                self.refuse(marker, "an alias", "the value itself");
                self.close(line, NodeValue::Null);
            }
            Event::Scalar(text, style, anchor, tag) => {
                self.check_plain(anchor, tag.is_some(), marker);
                self.close(line, scalar_value(&text, style));
            }
            Event::SequenceStart(anchor, tag) => {
                self.check_plain(anchor, tag.is_some(), marker);
                let nodes = Vec::new();
                self.descend(marker, OpenNode::List { line, nodes })?;
            }
            Event::MappingStart(anchor, tag) => {
                self.check_plain(anchor, tag.is_some(), marker);
                let open = OpenNode::Mapping {
                    line,
                    entries: Vec::new(),
                    key: None,
                };
                self.descend(marker, open)?;
            }
            Event::SequenceEnd | Event::MappingEnd => match self.open.pop()? {
                OpenNode::List { line, nodes } => self.close(line, NodeValue::List(nodes)),
                OpenNode::Mapping { line, entries, .. } => {
                    self.close(line, NodeValue::Mapping(entries));
                }
            },
            _ => {}
        }
        Some(())
    }

    fn descend(&mut self, marker: Marker, open: OpenNode) -> Option<()> {
        if self.open.len() >= MAX_DEPTH {
            let allowed = format!("at most {MAX_DEPTH} levels");
            self.refuse(marker, "deeper nesting", &allowed);
            return None;
        }
        if let Some(OpenNode::Mapping { key: None, .. }) = self.open.last() {
            self.refuse(marker, "a name that is not text", "text");
            return None;
        }
        self.open.push(open);
        Some(())
    }

    /// Hands a finished node to the one around it.
    fn close(&mut self, line: usize, value: NodeValue) {
        let node = DocumentNode { line, value };
        match self.open.last_mut() {
            None => self.root = Some(node),
            Some(OpenNode::List { nodes, .. }) => nodes.push(node),
            Some(OpenNode::Mapping { entries, key, .. }) => match key.take() {
                Some((key, line)) => entries.push(MappingEntry { key, line, node }),
                None => match node.value {
                    NodeValue::Scalar(text) => *key = Some((text, line)),
                    _ => *key = Some(("".into(), line)),
                },
            },
        }
    }

    fn check_plain(&mut self, anchor: usize, tagged: bool, marker: Marker) {
        if anchor != 0 {
            self.refuse(marker, "an anchor", "the value itself");
        }
        if tagged {
            self.refuse(marker, "a tag", "the value itself");
        }
    }

    fn refuse(&mut self, marker: Marker, found: &str, allowed: &str) {
        self.errors
            .add(marker.line(), WHOLE_DOCUMENT, found, allowed);
    }
}

fn scalar_value(text: &str, style: TScalarStyle) -> NodeValue {
    if style == TScalarStyle::Plain && matches!(text, "" | "~" | "null") {
        return NodeValue::Null;
    }
    NodeValue::Scalar(text.into())
}
