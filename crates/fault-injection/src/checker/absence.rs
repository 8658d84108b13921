//! Intervals in which nodes' processes were stopped or frozen.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Violations up to this long before or after an absence are attributed to it, because the kernel and this process
/// observe its start and end at different times.
const ABSENCE_SLACK: Duration = Duration::from_millis(400);

/// One absence; it is ongoing if it has no end.
#[derive(Clone, Copy)]
struct Absence {
    began_at: Instant,
    ended_at: Option<Instant>,
}

/// The absences of each node by node number, ordered by time.
#[derive(Default)]
pub(super) struct AbsenceLog {
    by_node: BTreeMap<usize, Vec<Absence>>,
}

impl AbsenceLog {
    /// Records that a node is absent from this instant on, unless it is already absent.
    pub(super) fn begin(&mut self, node: usize, at: Instant) {
        let absences = self.by_node.entry(node).or_default();
        let is_absent = absences
            .last()
            .is_some_and(|absence| absence.ended_at.is_none());
        if !is_absent {
            absences.push(Absence {
                began_at: at,
                ended_at: None,
            });
        }
    }

    /// Records that a node's absence has ended, if the node was absent.
    pub(super) fn end(&mut self, node: usize, at: Instant) {
        let absences = self.by_node.entry(node).or_default();
        if let Some(absence) = absences.last_mut() {
            absence.ended_at.get_or_insert(at);
        }
    }

    /// Returns true if the node was absent at some time between these instants, within [`ABSENCE_SLACK`].
    pub(super) fn overlaps(&self, node: usize, from: Instant, to: Instant) -> bool {
        let absences = self.by_node.get(&node).into_iter().flatten();
        absences.into_iter().any(|absence| {
            let ended_before = absence
                .ended_at
                .is_some_and(|ended_at| ended_at + ABSENCE_SLACK < from);
            absence.began_at <= to + ABSENCE_SLACK && !ended_before
        })
    }
}
