//! The parser of an admin call, which is one line of words.

use thiserror::Error;

/// An admin call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdminCall<'a> {
    /// Check if this process can serve clients.
    Check,
    /// Drain the server with this id.
    SetDown(&'a str),
    /// Release the server with this id.
    SetUp(&'a str),
    /// Query the cluster, or recover its quorum.
    Cluster(&'a str),
    /// Query the budgets or change one.
    Budgets(BudgetsCall<'a>),
}

/// A call about the budgets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BudgetsCall<'a> {
    /// `show`, `plan` or `set`.
    pub(crate) query: &'a str,
    /// The change of a budget.
    pub(crate) change: Option<&'a str>,
}

/// The line is not a valid admin call.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum CallSyntaxError {
    /// The line is not UTF-8.
    #[error("the call is not UTF-8")]
    NotUtf8,
    /// The line contains no word.
    #[error("the call is empty")]
    Empty,
    /// `budgets` has no argument.
    #[error("budgets needs one of show, plan and set")]
    MissingBudgetsQuery,
    /// `fleet` has no argument.
    #[error("fleet needs one of status, members, log and reseed")]
    MissingClusterQuery,
    /// `set-down` or `set-up` has no argument.
    #[error("{0} needs the id of a transcriber")]
    MissingServer(String),
    /// The call has more arguments than it accepts.
    #[error("{0} has too many arguments")]
    TooManyArguments(String),
    /// The first word is not the name of a call.
    #[error("no call {0:?}; there are check, set-down ID, set-up ID, fleet and budgets")]
    UnknownCall(String),
}

/// Parses a line without its line end.
///
/// # Errors
/// If the line is not a valid call.
pub(crate) fn parse(line: &[u8]) -> Result<AdminCall<'_>, CallSyntaxError> {
    let text = std::str::from_utf8(line).map_err(|_| CallSyntaxError::NotUtf8)?;
    let words: Vec<&str> = text.split(' ').filter(|word| !word.is_empty()).collect();
    match *words.as_slice() {
        [] => Err(CallSyntaxError::Empty),
        ["check"] => Ok(AdminCall::Check),
        ["set-down", server] => Ok(AdminCall::SetDown(server)),
        ["set-up", server] => Ok(AdminCall::SetUp(server)),
        ["fleet", query] => Ok(AdminCall::Cluster(query)),
        ["budgets", query] => Ok(budgets(query, None)),
        ["budgets", query, change] => Ok(budgets(query, Some(change))),
        ["budgets"] => Err(CallSyntaxError::MissingBudgetsQuery),
        ["fleet"] => Err(CallSyntaxError::MissingClusterQuery),
        [word @ ("set-down" | "set-up")] => Err(CallSyntaxError::MissingServer(word.into())),
        [word @ ("check" | "set-down" | "set-up" | "fleet" | "budgets"), ..] => {
            Err(CallSyntaxError::TooManyArguments(word.into()))
        }
        [word, ..] => Err(CallSyntaxError::UnknownCall(word.into())),
    }
}

fn budgets<'a>(query: &'a str, change: Option<&'a str>) -> AdminCall<'a> {
    AdminCall::Budgets(BudgetsCall { query, change })
}

#[cfg(test)]
mod tests;
