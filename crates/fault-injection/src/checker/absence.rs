//! Spans in which nodes were dead or frozen.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// An absence explains what happened so long before and after it: the kernel's and this process's views of it differ.
const ABSENCE_SLACK: Duration = Duration::from_millis(400);

/// One span; it goes on if it has no end.
#[derive(Clone, Copy)]
struct Absence {
    began_at: Instant,
    ended_at: Option<Instant>,
}

/// The absences of each node, by its number and by time.
#[derive(Default)]
pub(super) struct AbsenceLog {
    by_node: BTreeMap<usize, Vec<Absence>>,
}

impl AbsenceLog {
    /// A node is absent from now on, if it was not already.
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

    /// A node is back, if it was absent.
    pub(super) fn end(&mut self, node: usize, at: Instant) {
        let absences = self.by_node.entry(node).or_default();
        if let Some(absence) = absences.last_mut() {
            absence.ended_at.get_or_insert(at);
        }
    }

    /// Whether the node was absent at some time between these moments.
    pub(super) fn overlaps(&self, node: usize, from: Instant, to: Instant) -> bool {
        let absences = self.by_node.get(&node).into_iter().flatten();
        absences.into_iter().any(|absence| {
            let is_over = absence
                .ended_at
                .is_some_and(|ended_at| ended_at + ABSENCE_SLACK < from);
            absence.began_at <= to + ABSENCE_SLACK && !is_over
        })
    }
}
