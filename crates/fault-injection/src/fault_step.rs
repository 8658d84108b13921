//! What faults are made of.

use crate::links::Party;
use crate::scenario::{Fault, Kind};
use lupincrank_test_servers::transcriber::Mode;
use std::time::{Duration, Instant};

/// One thing to do at its moment.
#[derive(Clone, Debug)]
pub enum Step {
    /// A fault begins.
    Begin(Fault),
    /// Links are as they were.
    Mend(Vec<(Party, Party)>, Kind),
    /// A node's process goes on.
    Wake(usize),
    /// A node starts anew.
    Start(usize),
    /// A node takes its address back from a process of another fleet.
    Home(usize),
    /// A node dies and starts anew, so often still, so far apart.
    Loop(usize, usize, Duration),
    /// A transcriber stands like this, and is listed as just started or as before.
    Turn(usize, Mode, bool),
    /// A draining transcriber ends one connection, and so on until it is gone at that moment.
    Drain(usize, Instant),
    /// Discovery is as it was for this node.
    Tell(usize),
}
