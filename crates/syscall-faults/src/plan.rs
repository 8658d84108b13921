//! What is to fail, as a test writes it down.

use thiserror::Error;

/// A percentage that stands for every call.
const EVERY_CALL: u32 = 100;
/// The name under which a plan sets the wall clock.
const CLOCK: &str = "clock";

/// Why a plan can't be read.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum PlanError {
    /// An entry is not of the form `CALL=FAULT:PERCENT` or `clock=SECONDS`.
    #[error("{0:?} is no CALL=FAULT:PERCENT")]
    Form(String),
    /// No group of calls has this name.
    #[error("no calls are named {0:?}")]
    Call(String),
    /// No fault has this name.
    #[error("no fault is named {0:?}")]
    Fault(String),
    /// A percentage or a number of seconds can't be read.
    #[error("{0:?} is no number that is allowed here")]
    Number(String),
}

/// How a call fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It is not carried out and returns this error.
    Errno(i32),
    /// It reads or writes only a part of what it could.
    Short,
}

/// Calls of one group fail in one way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// The numbers of the system calls.
    pub calls: &'static [i64],
    /// What happens to them.
    pub fault: Fault,
    /// How many of a hundred calls fail.
    pub percent: u32,
}

/// All that is to fail: entries `CALL=FAULT:PERCENT` with commas between them, and `clock=SECONDS` for a wall clock that is
/// ahead by so much.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FaultPlan {
    /// The rules; the first one that strikes counts.
    pub rules: Vec<Rule>,
    /// How far the wall clock is ahead.
    pub clock_offset_seconds: i64,
}

impl FaultPlan {
    /// Reads a plan.
    ///
    /// # Errors
    /// Names the first entry that is not understood.
    pub fn parse(text: &str) -> Result<FaultPlan, PlanError> {
        let mut plan = FaultPlan::default();
        for entry in text.split(',').filter(|entry| !entry.is_empty()) {
            let (name, value) = entry
                .split_once('=')
                .ok_or_else(|| PlanError::Form(entry.to_string()))?;
            if name == CLOCK {
                plan.clock_offset_seconds = parse_number(value)?;
            } else {
                plan.rules.push(parse_rule(name, value)?);
            }
        }
        Ok(plan)
    }

    /// The numbers of all calls that may fail.
    pub fn calls(&self) -> Vec<i64> {
        let mut calls: Vec<i64> = self
            .rules
            .iter()
            .flat_map(|rule| rule.calls)
            .copied()
            .collect();
        calls.sort_unstable();
        calls.dedup();
        calls
    }
}

fn parse_number<T: std::str::FromStr>(text: &str) -> Result<T, PlanError> {
    text.parse()
        .map_err(|_| PlanError::Number(text.to_string()))
}

fn parse_rule(name: &str, value: &str) -> Result<Rule, PlanError> {
    let (fault, percent) = value
        .split_once(':')
        .ok_or_else(|| PlanError::Form(value.to_string()))?;
    let percent: u32 = parse_number(percent)?;
    if percent > EVERY_CALL {
        return Err(PlanError::Number(percent.to_string()));
    }
    Ok(Rule {
        calls: calls_of(name)?,
        fault: parse_fault(fault)?,
        percent,
    })
}

fn calls_of(name: &str) -> Result<&'static [i64], PlanError> {
    Ok(match name {
        "recv" => &[libc::SYS_recvfrom, libc::SYS_recvmsg],
        "send" => &[libc::SYS_sendto, libc::SYS_sendmsg],
        "read" => &[libc::SYS_read, libc::SYS_pread64],
        "write" => &[libc::SYS_write],
        "pwrite" => &[libc::SYS_pwrite64],
        "sync" => &[libc::SYS_fsync, libc::SYS_fdatasync],
        "create" => &[libc::SYS_openat],
        "accept" => &[libc::SYS_accept, libc::SYS_accept4],
        "connect" => &[libc::SYS_connect],
        "socket" => &[libc::SYS_socket],
        "register" => &[libc::SYS_epoll_ctl],
        "wait" => &[
            libc::SYS_epoll_wait,
            libc::SYS_epoll_pwait,
            libc::SYS_epoll_pwait2,
        ],
        _ => return Err(PlanError::Call(name.to_string())),
    })
}

fn parse_fault(name: &str) -> Result<Fault, PlanError> {
    Ok(Fault::Errno(match name {
        "SHORT" => return Ok(Fault::Short),
        "EINTR" => libc::EINTR,
        "EIO" => libc::EIO,
        "ENOSPC" => libc::ENOSPC,
        "ENOMEM" => libc::ENOMEM,
        "ENFILE" => libc::ENFILE,
        "EMFILE" => libc::EMFILE,
        "ENOBUFS" => libc::ENOBUFS,
        "ECONNABORTED" => libc::ECONNABORTED,
        "EADDRNOTAVAIL" => libc::EADDRNOTAVAIL,
        "ENETDOWN" => libc::ENETDOWN,
        "ENETUNREACH" => libc::ENETUNREACH,
        "EHOSTUNREACH" => libc::EHOSTUNREACH,
        "ETIMEDOUT" => libc::ETIMEDOUT,
        _ => return Err(PlanError::Fault(name.to_string())),
    }))
}

#[cfg(test)]
mod tests;
