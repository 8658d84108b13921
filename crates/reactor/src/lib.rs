//! The one loop of a program: it waits for sockets and deadlines and calls back the objects that own them. What a program
//! keeps beside them is its [`World`]; the loop knows nothing of it.

pub mod deadlines;
pub mod delivery;
pub mod poll;
mod run;

pub use run::Reactor;

use deadlines::Deadlines;
use polling::Poller;
use std::collections::VecDeque;
use std::ops::{Deref, DerefMut};
use std::rc::Rc;

/// Names an object; its sockets report under twice this, plus one for a second socket.
pub type Id = u64;

/// The owner of deadlines that are the world's own.
pub const WORLD: Id = 0;

/// Whether an object lives on after a callback.
#[derive(Debug, PartialEq, Eq)]
pub enum Flow {
    /// It stays.
    Keep,
    /// It is dropped, and its sockets with it.
    Done,
}

/// What a program keeps beside its objects.
pub trait World: Sized {
    /// What one part of the program says to an object.
    type Message;
    /// After each callback and each message: carries out what was decided. `objects` are the ids of all that live.
    fn settle(hands: &mut Hands<Self>, objects: &mut dyn Iterator<Item = Id>);
    /// A deadline of the world's own has passed.
    fn due(hands: &mut Hands<Self>, purpose: u64);
    /// Once a turn: whether the loop ends here.
    fn over(&self) -> bool;
    /// A message came for an object that has ended meanwhile. It is dropped, and what it holds with it.
    fn unheard(&mut self, id: Id, message: Self::Message);
    /// Whether this object's sockets are looked at before all others.
    fn goes_first(&self, _id: Id) -> bool {
        false
    }
}

/// A connection, or another source of events, as the loop sees it.
pub trait Connection<W: World> {
    /// One of its sockets is ready.
    fn ready(&mut self, hands: &mut Hands<W>, side: usize, readable: bool, writable: bool) -> Flow;
    /// One of its deadlines has passed.
    fn due(&mut self, hands: &mut Hands<W>, purpose: u64) -> Flow;
    /// Another part of the program has something to say.
    fn told(&mut self, hands: &mut Hands<W>, message: W::Message) -> Flow;
}

/// What callbacks may use; the world's own fields can be named directly.
pub struct Hands<W: World> {
    /// The poller.
    pub poller: Rc<Poller>,
    /// All deadlines.
    pub deadlines: Deadlines,
    /// What the program keeps.
    pub world: W,
    outbox: VecDeque<(Id, W::Message)>,
    born: Vec<(Id, Box<dyn Connection<W>>)>,
    next: Id,
}

impl<W: World> Hands<W> {
    /// A name for a new object: never one that was given before.
    pub fn name(&mut self) -> Id {
        self.next += 1;
        self.next
    }

    /// Hands a new object to the loop.
    pub fn adopt(&mut self, id: Id, object: Box<dyn Connection<W>>) {
        self.born.push((id, object));
    }

    /// Says something to an object, after the present callback.
    pub fn tell(&mut self, id: Id, message: W::Message) {
        self.outbox.push_back((id, message));
    }
}

impl<W: World> Deref for Hands<W> {
    type Target = W;
    fn deref(&self) -> &W {
        &self.world
    }
}

impl<W: World> DerefMut for Hands<W> {
    fn deref_mut(&mut self) -> &mut W {
        &mut self.world
    }
}
