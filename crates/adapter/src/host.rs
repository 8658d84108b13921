//! Hosts several balancer instances and collects the actions of the current batch.

use crate::error::{LineError, MessageError};
use crate::input::{required, InputLine};
use crate::output::{write_action, write_end_of_reply};
use lupincrank_placement::{Action, Balancer, Event, Timestamp};
use std::collections::HashMap;

/// The state of the batch after a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchState {
    /// The batch continues with the next line.
    Open,
    /// The batch is complete and a reply is due.
    Complete,
}

/// A balancer and its name in the protocol.
struct Instance {
    name: String,
    /// `None` after a `TEARDOWN`.
    balancer: Option<Balancer>,
}

/// An action and the instance that requested it.
struct PendingAction {
    instance_index: usize,
    action: Action,
}

/// All instances, and the time and actions of the current batch.
#[derive(Default)]
pub struct Host {
    instances: Vec<Instance>,
    instance_indices: HashMap<String, usize>,
    /// The time of the current batch; `None` between batches.
    now: Option<Timestamp>,
    pending_actions: Vec<PendingAction>,
    /// Buffer for the actions of one event, kept to reuse its memory.
    event_actions: Vec<Action>,
}

impl Host {
    /// Returns true if a `TICK` has been read without its `EOB`.
    pub fn is_inside_batch(&self) -> bool {
        self.now.is_some()
    }

    /// Handles one line.
    ///
    /// # Errors
    ///
    /// If the line is invalid, or not allowed in the current state of the batch.
    pub fn handle_line(&mut self, text: &str) -> Result<BatchState, LineError> {
        let line: InputLine = serde_json::from_str(text).map_err(LineError::Syntax)?;
        match (line.operation.as_ref(), self.now) {
            ("TICK", None) => {
                let now = required(line.sim_time_ns, "SimTimeNs").map_err(LineError::Tick)?;
                self.now = Some(Timestamp(now));
                Ok(BatchState::Open)
            }
            ("TICK", Some(_)) => Err(LineError::TickInsideBatch),
            (operation, None) => Err(LineError::OutsideBatch {
                operation: operation.to_string(),
            }),
            ("EOB", Some(_)) => {
                self.now = None;
                Ok(BatchState::Complete)
            }
            (operation, Some(now)) => {
                let operation = operation.to_string();
                self.handle_message(now, line)
                    .map_err(|error| LineError::Message { operation, error })?;
                Ok(BatchState::Open)
            }
        }
    }

    /// Writes the reply to a complete batch.
    pub fn write_reply(&mut self, reply: &mut Vec<u8>) {
        for pending in self.pending_actions.drain(..) {
            let name = &self.instances[pending.instance_index].name;
            write_action(reply, name, pending.action);
        }
        write_end_of_reply(reply);
    }

    fn handle_message(&mut self, now: Timestamp, mut line: InputLine) -> Result<(), MessageError> {
        let name = required(line.instance.take(), "Who")?;
        if line.operation == "SPAWN" {
            return self.spawn(now, &name, line);
        }
        let Some(index) = self.instance_indices.get(name.as_ref()).copied() else {
            return Err(MessageError::UnknownInstance {
                instance: name.into_owned(),
            });
        };
        if line.operation == "TEARDOWN" {
            self.tear_down(index);
            return Ok(());
        }
        if self.instances[index].balancer.is_none() {
            return Err(MessageError::StoppedInstance {
                instance: name.into_owned(),
            });
        }
        if let Some(event) = line.into_event()? {
            self.deliver(now, index, event);
        }
        Ok(())
    }

    /// Starts an instance, replacing any earlier instance of the same name.
    fn spawn(&mut self, now: Timestamp, name: &str, line: InputLine) -> Result<(), MessageError> {
        let seed = required(line.seed, "Prng")?;
        let settings = required(line.settings, "Conf")?.placement_settings()?;
        let index = self.get_or_insert_index(name);
        self.instances[index].balancer = Some(Balancer::new(settings, seed));
        self.deliver(now, index, Event::Start);
        Ok(())
    }

    /// Returns the index of the instance with this name, adding it if there is none.
    fn get_or_insert_index(&mut self, name: &str) -> usize {
        if let Some(index) = self.instance_indices.get(name) {
            return *index;
        }
        let index = self.instances.len();
        self.instances.push(Instance {
            name: name.to_string(),
            balancer: None,
        });
        self.instance_indices.insert(name.to_string(), index);
        index
    }

    fn tear_down(&mut self, index: usize) {
        // Pending actions of the instance must not be attributed to a successor of the same name.
        self.pending_actions
            .retain(|pending| pending.instance_index != index);
        self.instances[index].balancer = None;
    }

    fn deliver(&mut self, now: Timestamp, instance_index: usize, event: Event) {
        let Some(balancer) = &mut self.instances[instance_index].balancer else {
            return;
        };
        balancer.handle(now, event, &mut self.event_actions);
        let actions = self.event_actions.drain(..);
        self.pending_actions
            .extend(actions.map(|action| PendingAction {
                instance_index,
                action,
            }));
    }
}
