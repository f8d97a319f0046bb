//! Parses a YAML document into a tree whose nodes record their line numbers.
//!
//! The tree is built from parser events rather than by a deserializer, because a deserializer stops
//! at the first error and operators should see all of them. Anchors, aliases and tags are rejected
//! so that each value in effect is written out where the operator reads it.

use yaml_rust2::parser::{Event, Parser};
use yaml_rust2::scanner::{Marker, TScalarStyle};

use crate::error::ErrorList;

/// Path reported for errors that concern the entire document.
pub(crate) const DOCUMENT_PATH: &str = "(document)";

/// Maximum nesting depth, so that a published document cannot exhaust the stack.
const MAX_DEPTH: usize = 16;

/// Maximum size of a document in bytes; the platform stores no larger values.
const MAX_DOCUMENT_BYTES: usize = 1024 * 1024;

/// A node of the document tree.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct DocumentNode {
    /// First line of the node, counted from 1.
    pub(crate) line: usize,
    pub(crate) value: NodeValue,
}

/// Content of a document node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum NodeValue {
    /// A null or empty value.
    Null,
    /// A scalar, kept as text; numbers are parsed by the field that reads them.
    Scalar(Box<str>),
    /// A sequence of nodes.
    List(Vec<DocumentNode>),
    /// A mapping, in document order.
    Mapping(Vec<MappingEntry>),
}

/// A key-value pair of a mapping.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct MappingEntry {
    /// Key, without quotes.
    pub(crate) key: Box<str>,
    /// Line of the key, counted from 1.
    pub(crate) line: usize,
    /// Value of the key.
    pub(crate) node: DocumentNode,
}

impl NodeValue {
    /// Describes the value in a few words for error messages.
    pub(crate) fn describe(&self) -> Box<str> {
        match self {
            Self::Null => "nothing".into(),
            Self::Scalar(text) => quote(text),
            Self::List(_) => "a list".into(),
            Self::Mapping(_) => "a mapping".into(),
        }
    }
}

/// Returns the text in backquotes, escaped to a single line and truncated if long.
pub(crate) fn quote(text: &str) -> Box<str> {
    const MAX_CHARS: usize = 60;
    let mut quoted: String = text
        .chars()
        .take(MAX_CHARS)
        .flat_map(char::escape_debug)
        .collect();
    if text.chars().count() > MAX_CHARS {
        quoted.push_str("...");
    }
    format!("`{quoted}`").into()
}

/// Parses a document whose root is a mapping. Syntax errors and duplicate keys are added to `errors`.
pub(crate) fn load_mapping(text: &str, errors: &mut ErrorList) -> Option<Vec<MappingEntry>> {
    if text.len() > MAX_DOCUMENT_BYTES {
        let found = format!("{} bytes", text.len());
        let allowed = format!("at most {MAX_DOCUMENT_BYTES} bytes");
        errors.add(1, DOCUMENT_PATH, found, allowed);
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
                DOCUMENT_PATH,
                other.describe(),
                "a mapping of fields",
            );
            None
        }
    }
}

/// Appends a key to the path of its parent; the root has an empty path.
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
                let found = format!("a duplicate name, first used on line {}", seen[position].1);
                errors.add(entry.line, &path, found, "unique names");
            }
            Err(position) => seen.insert(position, (entry.key.as_ref(), entry.line)),
        }
        if let NodeValue::Mapping(children) = &entry.node.value {
            check_duplicates(children, &path, errors);
        }
    }
}

/// A mapping or sequence whose end event has not been read.
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

/// Builds the document tree from parser events without recursion.
struct DocumentLoader<'a> {
    open_nodes: Vec<OpenNode>,
    root: Option<DocumentNode>,
    errors: &'a mut ErrorList,
}

impl<'a> DocumentLoader<'a> {
    fn new(errors: &'a mut ErrorList) -> Self {
        Self {
            open_nodes: Vec::new(),
            root: None,
            errors,
        }
    }

    fn load(mut self, text: &str) -> Option<DocumentNode> {
        let mut parser = Parser::new_from_str(text);
        let mut document_count = 0_usize;
        loop {
            let (event, marker) = match parser.next_token() {
                Ok(token) => token,
                Err(error) => {
                    let line = error.marker().line();
                    self.errors
                        .add(line, DOCUMENT_PATH, error.info(), "well-formed YAML");
                    return None;
                }
            };
            match event {
                Event::StreamEnd => break,
                Event::DocumentStart => document_count += 1,
                Event::Nothing | Event::StreamStart | Event::DocumentEnd => {}
                tree_event => self.handle_event(tree_event, marker)?,
            }
            if document_count > 1 {
                self.add_error(marker, "a second document", "one document");
                return None;
            }
        }
        if self.root.is_none() {
            self.errors
                .add(1, DOCUMENT_PATH, "nothing", "a mapping of fields");
        }
        self.root
    }

    /// Handles an event within the document; returns none if the rest cannot be parsed.
    fn handle_event(&mut self, event: Event, marker: Marker) -> Option<()> {
        let line = marker.line();
        match event {
            Event::Alias(_) => {
                self.add_error(marker, "an alias", "a plain value");
                self.finish_node(line, NodeValue::Null);
            }
            Event::Scalar(text, style, anchor, tag) => {
                self.reject_anchor_and_tag(anchor, tag.is_some(), marker);
                self.finish_node(line, scalar_value(&text, style));
            }
            Event::SequenceStart(anchor, tag) => {
                self.reject_anchor_and_tag(anchor, tag.is_some(), marker);
                let nodes = Vec::new();
                self.push_open_node(marker, OpenNode::List { line, nodes })?;
            }
            Event::MappingStart(anchor, tag) => {
                self.reject_anchor_and_tag(anchor, tag.is_some(), marker);
                let node = OpenNode::Mapping {
                    line,
                    entries: Vec::new(),
                    key: None,
                };
                self.push_open_node(marker, node)?;
            }
            Event::SequenceEnd | Event::MappingEnd => match self.open_nodes.pop()? {
                OpenNode::List { line, nodes } => self.finish_node(line, NodeValue::List(nodes)),
                OpenNode::Mapping { line, entries, .. } => {
                    self.finish_node(line, NodeValue::Mapping(entries));
                }
            },
            _ => {}
        }
        Some(())
    }

    fn push_open_node(&mut self, marker: Marker, node: OpenNode) -> Option<()> {
        if self.open_nodes.len() >= MAX_DEPTH {
            let allowed = format!("at most {MAX_DEPTH} levels");
            self.add_error(marker, "deeper nesting", &allowed);
            return None;
        }
        if let Some(OpenNode::Mapping { key: None, .. }) = self.open_nodes.last() {
            self.add_error(marker, "a key that is not text", "a text key");
            return None;
        }
        self.open_nodes.push(node);
        Some(())
    }

    /// Adds a complete node to the innermost open node, or makes it the root.
    fn finish_node(&mut self, line: usize, value: NodeValue) {
        let node = DocumentNode { line, value };
        match self.open_nodes.last_mut() {
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

    fn reject_anchor_and_tag(&mut self, anchor: usize, tagged: bool, marker: Marker) {
        if anchor != 0 {
            self.add_error(marker, "an anchor", "a plain value");
        }
        if tagged {
            self.add_error(marker, "a tag", "a plain value");
        }
    }

    fn add_error(&mut self, marker: Marker, found: &str, allowed: &str) {
        self.errors
            .add(marker.line(), DOCUMENT_PATH, found, allowed);
    }
}

fn scalar_value(text: &str, style: TScalarStyle) -> NodeValue {
    if style == TScalarStyle::Plain && matches!(text, "" | "~" | "null") {
        return NodeValue::Null;
    }
    NodeValue::Scalar(text.into())
}
