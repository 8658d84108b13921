//! The syntax of an admin call: one line of words.

use thiserror::Error;

/// An admin call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdminCall<'a> {
    /// Whether this process can serve clients.
    Check,
    /// Drain the server of this id.
    SetDown(&'a str),
    /// Release the server of this id.
    SetUp(&'a str),
    /// Ask about the cluster, or recover its quorum.
    Cluster(&'a str),
    /// Ask about a budget or change it.
    Budgets(BudgetsCall<'a>),
}

/// A call about the budgets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BudgetsCall<'a> {
    /// `show`, `plan` or `set`.
    pub(crate) query: &'a str,
    /// What to change.
    pub(crate) change: Option<&'a str>,
}

/// Why a line is not an admin call.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum CallSyntaxError {
    /// The line is not UTF-8.
    #[error("the call is not UTF-8")]
    NotUtf8,
    /// The line has no word.
    #[error("the call is empty")]
    Empty,
    /// `budgets` stands alone.
    #[error("budgets needs one of show, plan and set")]
    MissingBudgetsQuery,
    /// `fleet` stands alone.
    #[error("fleet needs one of status, members, log and reseed")]
    MissingClusterQuery,
    /// `set-down` or `set-up` stands alone.
    #[error("{0} needs the id of a transcriber")]
    MissingServer(String),
    /// There are more words than the call takes.
    #[error("{0} has too many arguments")]
    TooManyArguments(String),
    /// The first word is not that of a call.
    #[error("no call {0:?}; there are check, set-down ID, set-up ID, fleet and budgets")]
    UnknownCall(String),
}

/// Parses a line without its end.
///
/// # Errors
/// Where the line is not a call; the text says what is wrong with it.
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
