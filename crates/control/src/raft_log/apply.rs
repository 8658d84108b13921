//! Applies committed entries to the replicated state.

use super::{LogError, RaftLog, MAX_LOG_LINES};
use crate::entry::{Entry, Grant};
use crate::member::{ClusterId, Member};
use crate::message::{Action, ControlMessage};
use crate::status::LogLine;
use protobuf::Message as _;
use raft::eraftpb::{ConfChange, ConfChangeType, ConfState, Entry as RaftEntry, EntryType};

/// The printed name of an expected node that was never present.
const ABSENT_NAME: &str = "(expected)";

impl RaftLog {
    pub(super) fn apply(
        &mut self,
        entry: &RaftEntry,
        actions: &mut Vec<Action>,
    ) -> Result<(), LogError> {
        self.applied_index = entry.index;
        if entry.get_entry_type() == EntryType::EntryConfChange {
            self.apply_configuration_change(entry)
        } else {
            self.apply_state_change(entry, actions);
            Ok(())
        }
    }

    fn apply_configuration_change(&mut self, entry: &RaftEntry) -> Result<(), LogError> {
        let change = ConfChange::parse_from_bytes(entry.get_data())?;
        let configuration = self.raw_node.apply_conf_change(&change)?;
        self.storage.set_configuration(configuration.clone());
        self.state.applied_entries += 1;
        let member = postcard::from_bytes::<Member>(change.get_context()).ok();
        let description = self.describe_configuration_change(&change, member.as_ref());
        self.apply_member_change(&change, member);
        self.refresh_snapshot(entry, configuration);
        self.add_log_line(entry, description);
        Ok(())
    }

    fn describe_configuration_change(
        &self,
        change: &ConfChange,
        member: Option<&Member>,
    ) -> String {
        let known = member.or_else(|| self.state.members.get(&change.node_id));
        let name = known.map_or(ABSENT_NAME, |member| member.name.as_str());
        format!(
            "{:?} {name} {:016x}",
            change.get_change_type(),
            change.node_id
        )
    }

    fn apply_member_change(&mut self, change: &ConfChange, member: Option<Member>) {
        if change.get_change_type() == ConfChangeType::RemoveNode {
            self.state.members.remove(&change.node_id);
        } else if let Some(member) = member {
            self.state.members.insert(change.node_id, member);
        }
    }

    /// Replaces the snapshot after a configuration change. A new incarnation starts from a snapshot, and rejects one
    /// whose configuration does not include it.
    fn refresh_snapshot(&self, entry: &RaftEntry, configuration: ConfState) {
        if let Ok(data) = postcard::to_stdvec(&self.state) {
            self.storage
                .replace_snapshot(entry.index, entry.term, configuration, data);
        }
    }

    /// Applies a change of the replicated state. The empty entry of a new leader can't be decoded and is ignored.
    fn apply_state_change(&mut self, entry: &RaftEntry, actions: &mut Vec<Action>) {
        let Ok(change) = postcard::from_bytes::<Entry>(entry.get_data()) else {
            return;
        };
        let description = change.description();
        let grants = self.state.apply(change);
        if self.is_leader() {
            let cluster_id = self.cluster_id;
            actions.extend(grants.iter().map(|grant| send_grant(cluster_id, grant)));
        }
        self.add_log_line(entry, description);
    }

    fn add_log_line(&mut self, entry: &RaftEntry, description: String) {
        self.log_lines.push_back(LogLine {
            index: entry.index,
            term: entry.term,
            description,
        });
        if self.log_lines.len() > MAX_LOG_LINES {
            self.log_lines.pop_front();
        }
    }
}

fn send_grant(cluster_id: ClusterId, grant: &Grant) -> Action {
    Action::Send {
        to: grant.holder,
        message: ControlMessage::LeaseGranted {
            cluster_id,
            request_number: grant.request_number,
            limit: grant.limit,
        },
    }
}
