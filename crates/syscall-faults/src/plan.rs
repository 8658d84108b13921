//! The fault plan, and its text format for tests.

use thiserror::Error;

/// Greatest percentage of a rule.
const MAX_PERCENT: u32 = 100;
/// The entry name that sets the offset of the wall clock.
const CLOCK: &str = "clock";

/// An error in the text of a plan.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum PlanError {
    /// An entry is not of the form `CALL=FAULT:PERCENT` or `clock=SECONDS`.
    #[error("{0:?} is not of the form CALL=FAULT:PERCENT or clock=SECONDS")]
    Form(String),
    /// No group of calls has this name.
    #[error("unknown system call group {0:?}")]
    Call(String),
    /// No fault has this name.
    #[error("unknown fault {0:?}")]
    Fault(String),
    /// A percentage or a number of seconds is invalid.
    #[error("{0:?} is not a valid percentage or number of seconds")]
    Number(String),
}

/// The fault of a system call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call returns this error and, except for an interrupted `connect`, is not executed.
    Errno(i32),
    /// The call is made with a shorter buffer, so that it reads or writes less.
    Short,
}

/// A fault for a group of system calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// The numbers of the system calls.
    pub calls: &'static [i64],
    /// The fault of these calls.
    pub fault: Fault,
    /// Percentage of the calls that fail.
    pub percent: u32,
}

/// The faults of a process: comma-separated entries `CALL=FAULT:PERCENT`, and `clock=SECONDS` for a wall clock that is
/// ahead by this number of seconds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FaultPlan {
    /// The rules, tried in order; the first one that applies to a call determines its fault.
    pub rules: Vec<Rule>,
    /// Seconds by which the wall clock is ahead; negative if it is behind.
    pub clock_offset_seconds: i64,
}

impl FaultPlan {
    /// Parses a plan.
    ///
    /// # Errors
    /// If an entry is invalid; the error contains the first one, or its invalid part.
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

    /// The numbers of all system calls that may fail.
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
    if percent > MAX_PERCENT {
        return Err(PlanError::Number(percent.to_string()));
    }
    Ok(Rule {
        calls: parse_calls(name)?,
        fault: parse_fault(fault)?,
        percent,
    })
}

fn parse_calls(name: &str) -> Result<&'static [i64], PlanError> {
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
        #[cfg(target_arch = "x86_64")]
        "wait" => &[
            libc::SYS_epoll_wait,
            libc::SYS_epoll_pwait,
            libc::SYS_epoll_pwait2,
        ],
        // Linux on `aarch64` has no `epoll_wait`.
        #[cfg(target_arch = "aarch64")]
        "wait" => &[libc::SYS_epoll_pwait, libc::SYS_epoll_pwait2],
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
