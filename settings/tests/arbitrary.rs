//! Parsers return a value or errors for any text, since a published document may contain anything.

use proptest::prelude::*;
use yuccalift_settings::{check_document, parse_accounts, parse_daemon};

/// Fragments that are combined into documents, from nearly valid to malformed ones.
const FRAGMENTS: &[&str] = &[
    "templates:\n",
    "accounts:\n",
    "  a:\n",
    "    template: a\n",
    "    deadline: 50ms\n",
    "listen:\n",
    "host: x\n",
    "- ",
    ": ",
    "{",
    "}",
    "[",
    "]",
    "&a ",
    "*a ",
    "!t ",
    "? ",
    "| ",
    "> ",
    "\"",
    "'",
    "\\x",
    "\n",
    "\t",
    "  ",
    "---\n",
    "...\n",
    "%YAML 1.2\n",
    "#",
    ",",
    "~",
    "9",
    "\u{feff}",
    "é",
    "\r",
];

fn document_of_fragments() -> impl Strategy<Value = String> {
    prop::collection::vec(prop::sample::select(FRAGMENTS), 0..40)
        .prop_map(|fragments| fragments.concat())
}

proptest! {
    #[test]
    fn documents_of_fragments_parse_or_fail(text in document_of_fragments()) {
        let _ = parse_daemon("daemon", &text);
        let _ = parse_accounts("accounts", &text, 1);
        let _ = check_document("any", &text);
    }

    #[test]
    fn arbitrary_text_parses_or_fails(text in any::<String>()) {
        let _ = parse_accounts("accounts", &text, 1);
        let _ = check_document("any", &text);
    }
}

fn assert_nesting_rejected(open: &str, levels: usize, expected: &str) {
    let text = open.repeat(levels);
    let errors = parse_accounts("accounts", &text, 1).expect_err("the nesting exceeds the limit");
    let message = errors.to_string();
    assert!(
        message.contains(expected),
        "the error names the limit: {message}"
    );
}

yuccalift_testkit::cases! {
    nested_flow_lists_are_rejected: assert_nesting_rejected("[", 17, "at most 16 levels");
    nested_flow_mappings_are_rejected: assert_nesting_rejected("{a: ", 17, "at most 16 levels");
    nested_block_lists_are_rejected: assert_nesting_rejected("- ", 17, "at most 16 levels");
    lists_beyond_the_parser_recursion_limit_are_rejected: assert_nesting_rejected("[", 500_000, "recursion limit exceeded");
}
