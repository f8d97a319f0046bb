//! `yuccalift explain`: shows the effective settings of an account and the origin of each value.

use lexopt::prelude::{Long, Short, Value, ValueExt};
use yuccalift_settings::{AccountExplanation, ResolvedAccounts, resolve_accounts};

use crate::error::CommandError;
use crate::input::read_file;
use crate::table::TextTable;

const HELP: &str = "\
yuccalift explain: show the effective settings of a client account and the origin of each value

Usage: yuccalift explain FILE ACCOUNT

FILE contains the templates and accounts.

Options:
  -h, --help  print this text

Exit status: 0 success, 2 the document is invalid or does not contain the account.
";

/// Runs the subcommand.
///
/// # Errors
///
/// [`CommandError::InvalidInput`] if the document is invalid or does not contain the account.
pub fn run(mut parser: lexopt::Parser) -> Result<(), CommandError> {
    let mut values = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => {
                print!("{HELP}");
                return Ok(());
            }
            Value(value) => values.push(value.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let [file, account] = values.as_slice() else {
        return Err(lexopt::Error::from("explain: a file and an account are required").into());
    };
    explain(file, account)
}

fn explain(file: &str, account: &str) -> Result<(), CommandError> {
    let text = read_file(file)?;
    let resolved = resolve_accounts(file, &text, 0).map_err(|errors| {
        eprintln!("{errors}");
        let message = format!("explain: {file} is invalid").into();
        CommandError::InvalidInput { message }
    })?;
    let explanation = resolved
        .explanation(account)
        .ok_or_else(|| unknown_account(file, account, &resolved))?;
    print!("{}", render(explanation));
    Ok(())
}

fn unknown_account(file: &str, account: &str, resolved: &ResolvedAccounts) -> CommandError {
    let explanations = resolved.explanations.iter();
    let names: Vec<&str> = explanations.map(|known| known.account.as_ref()).collect();
    let names = names.join(", ");
    CommandError::InvalidInput {
        message: format!("explain: {file} has no account `{account}`; known accounts: {names}")
            .into(),
    }
}

fn render(explanation: &AccountExplanation) -> String {
    let mut table = TextTable::new(["FIELD", "IN FORCE", "FROM"]);
    for field in &explanation.fields {
        let (value, origin) = (field.value.to_string(), field.origin.to_string());
        table.add([field.name.to_owned(), value, origin]);
    }
    let AccountExplanation {
        account, template, ..
    } = explanation;
    format!("account {account}, template {template}\n{}", table.render())
}
