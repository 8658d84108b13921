//! Admin commands to real nodes, and their cluster status.

use crate::error::RunError;
use serde_json::Value;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Timeout of the connection attempt and of each read.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends a command and returns the text that follows `done` in the answer.
pub(super) fn call(address: SocketAddr, command: &str) -> Result<String, RunError> {
    let answer =
        exchange(address, command).map_err(|source| RunError::AdminCall { address, source })?;
    let answer = answer.trim_end();
    match answer.strip_prefix("done") {
        Some(result) => Ok(result.trim_start().to_string()),
        None => Err(RunError::AdminCommandFailed {
            address,
            answer: answer.to_string(),
        }),
    }
}

fn exchange(address: SocketAddr, command: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, ANSWER_TIMEOUT)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    stream.write_all(format!("{command}\r\n").as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}

/// The state of the cluster as reported by a node.
pub(super) struct ClusterStatus {
    status: Value,
}

impl ClusterStatus {
    /// Requests the status of a node.
    pub(super) fn request(address: SocketAddr) -> Result<ClusterStatus, RunError> {
        let text = call(address, "fleet status")?;
        Ok(ClusterStatus {
            status: serde_json::from_str(&text)?,
        })
    }

    fn control(&self) -> &Value {
        &self.status["council"]
    }

    /// Returns the number of entries of the replicated log that the node has applied.
    pub(super) fn epoch(&self) -> u64 {
        self.control()["epoch"].as_u64().unwrap_or(0)
    }

    /// Returns the limit of the budget known to the node.
    pub(super) fn budget_limit(&self) -> u32 {
        self.control()["whole"].as_u64().unwrap_or(0) as u32
    }

    /// Returns the leader's name, if the node knows a leader.
    pub(super) fn leader(&self) -> Option<&str> {
        self.control()["leader"].as_str()
    }

    /// Returns the number of nodes that the node reports as live, including itself.
    pub(super) fn live_count(&self) -> usize {
        self.status["alive"].as_u64().unwrap_or(0) as usize
    }

    fn members(&self) -> impl Iterator<Item = &Value> {
        self.control()["parts"].as_array().into_iter().flatten()
    }

    fn member(&self, name: &str) -> Option<&Value> {
        self.members()
            .find(|member| member_name(member) == Some(name))
    }

    /// Returns true if the member with this name is a voter.
    pub(super) fn is_voter(&self, name: &str) -> bool {
        self.member(name).is_some_and(is_voter)
    }

    /// Returns true if the node reports the member with this name as live.
    pub(super) fn is_live(&self, name: &str) -> bool {
        self.member(name)
            .is_some_and(|member| member["alive"] == true)
    }

    /// Returns the names of all voters.
    pub(super) fn voters(&self) -> Vec<String> {
        self.members()
            .filter(|member| is_voter(member))
            .filter_map(member_name)
            .map(str::to_string)
            .collect()
    }
}

fn member_name(member: &Value) -> Option<&str> {
    member["member"]["name"].as_str()
}

fn is_voter(member: &Value) -> bool {
    member["role"] != "learner"
}
