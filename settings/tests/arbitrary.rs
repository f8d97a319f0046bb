//! A published document may hold anything; reading it must end in a value or in faults.

use proptest::prelude::*;
use yuccalift_settings::{check_document, parse_accounts, parse_daemon};

/// Pieces from which both nearly valid and hopeless documents are put together.
const PIECES: &[&str] = &[
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

fn document_from_pieces() -> impl Strategy<Value = String> {
    prop::collection::vec(prop::sample::select(PIECES), 0..40).prop_map(|pieces| pieces.concat())
}

proptest! {
    #[test]
    fn assembled_documents_end_in_a_value_or_faults(text in document_from_pieces()) {
        let _ = parse_daemon("daemon", &text);
        let _ = parse_accounts("accounts", &text, 1);
        let _ = check_document("any", &text);
    }

    #[test]
    fn any_text_ends_in_a_value_or_faults(text in any::<String>()) {
        let _ = parse_accounts("accounts", &text, 1);
        let _ = check_document("any", &text);
    }
}

fn assert_nesting_rejected(open: &str, levels: usize, fault: &str) {
    let text = open.repeat(levels);
    let errors = parse_accounts("accounts", &text, 1).expect_err("nesting has a bound");
    let shown = errors.to_string();
    assert!(shown.contains(fault), "the fault names the bound: {shown}");
}

yuccalift_testkit::cases! {
    lists_in_lists: assert_nesting_rejected("[", 17, "at most 16 levels");
    mappings_in_mappings: assert_nesting_rejected("{a: ", 17, "at most 16 levels");
    dashes: assert_nesting_rejected("- ", 17, "at most 16 levels");
    half_a_megabyte_of_lists: assert_nesting_rejected("[", 500_000, "recursion limit exceeded");
}
