//! The event loop of a program: it waits for sockets and deadlines and calls back the components that own them.
//!
//! A program implements [`Application`] for the state that all of its components share, and [`Connection`] for each kind
//! of component. The loop ([`Reactor`]) owns the components and passes [`Context`] to every callback.

pub mod acceptor;
pub mod deadlines;
mod event_loop;
mod interrupted;
pub mod poll;
pub mod unacknowledged;

pub use event_loop::Reactor;
pub use interrupted::retry_interrupted;

use deadlines::Deadlines;
use polling::Poller;
use std::collections::VecDeque;
use std::ops::{Deref, DerefMut};
use std::rc::Rc;

/// Names a component of the loop. Ids are never reused within a process.
pub type ComponentId = u64;

/// The owner of deadlines that belong to the application and to no component.
pub const APPLICATION: ComponentId = 0;

/// How many sockets a component may register.
const SOCKETS_PER_COMPONENT: usize = 2;

/// The poller's key for one of a component's two sockets (`socket` is 0 or 1).
pub fn poller_key(id: ComponentId, socket: usize) -> usize {
    id as usize * SOCKETS_PER_COMPONENT + socket
}

/// The component and its socket that a poller's key stands for.
fn component_of(key: usize) -> (ComponentId, usize) {
    (
        (key / SOCKETS_PER_COMPONENT) as ComponentId,
        key % SOCKETS_PER_COMPONENT,
    )
}

/// Whether a component lives on after a callback.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// It stays registered.
    Continue,
    /// It is dropped, and its sockets and deadlines with it.
    Close,
}

/// Which events a socket is registered for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interest {
    /// Readable data, or the end of the stream.
    pub readable: bool,
    /// Room for data to be written, or the outcome of a connect.
    pub writable: bool,
}

impl Interest {
    /// Neither kind of event.
    pub const NONE: Interest = Interest {
        readable: false,
        writable: false,
    };
    /// Readable data only.
    pub const READ: Interest = Interest {
        readable: true,
        writable: false,
    };
    /// Room to write only.
    pub const WRITE: Interest = Interest {
        readable: false,
        writable: true,
    };
    /// Both kinds of events.
    pub const READ_WRITE: Interest = Interest {
        readable: true,
        writable: true,
    };
}

/// Which events a socket reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Readiness {
    /// Data can be read, or the stream has ended.
    pub readable: bool,
    /// Data can be written, or a connect has ended.
    pub writable: bool,
}

/// The state that a program's components share, with the hooks that the loop calls between callbacks.
pub trait Application: Sized {
    /// What components send each other through [`Context::send`].
    type Message;
    /// What a deadline is for. Deadlines of one owner that fall due at the same instant fire in this order.
    type DeadlineKind: Copy + Ord;

    /// Runs after each callback and each message, and carries out what was decided. `components` iterates over the ids of
    /// all registered components, in no particular order.
    fn after_callback(
        context: &mut Context<Self>,
        components: &mut dyn Iterator<Item = ComponentId>,
    );

    /// A deadline owned by [`APPLICATION`] has passed.
    fn on_deadline(context: &mut Context<Self>, kind: Self::DeadlineKind);

    /// Whether the loop ends here; asked once a turn.
    fn is_finished(&self) -> bool;

    /// A message was addressed to a component that has closed meanwhile. Dropping it releases what it holds.
    fn on_undelivered(&mut self, id: ComponentId, message: Self::Message);

    /// Whether events of this component are handled before those of others in the same turn.
    fn has_priority(&self, _id: ComponentId) -> bool {
        false
    }
}

/// A component of the loop: a connection, a listener, or another source of events.
pub trait Connection<A: Application> {
    /// The component's socket number `socket` (0 or 1) is ready.
    fn on_ready(
        &mut self,
        context: &mut Context<A>,
        socket: usize,
        readiness: Readiness,
    ) -> Lifecycle;

    /// One of the component's deadlines has passed.
    fn on_deadline(&mut self, context: &mut Context<A>, kind: A::DeadlineKind) -> Lifecycle;

    /// A message for this component.
    fn on_message(&mut self, context: &mut Context<A>, message: A::Message) -> Lifecycle;
}

/// A message on its way to a component.
struct Envelope<M> {
    receiver: ComponentId,
    message: M,
}

/// A component that the loop takes over after the present callback.
struct Registration<A: Application> {
    id: ComponentId,
    component: Box<dyn Connection<A>>,
}

/// What callbacks may use. It dereferences to the application, so its fields can be named directly.
pub struct Context<A: Application> {
    /// The poller that sockets are registered with.
    pub poller: Rc<Poller>,
    /// All deadlines of the program.
    pub deadlines: Deadlines<A::DeadlineKind>,
    /// The state that components share.
    pub application: A,
    outbox: VecDeque<Envelope<A::Message>>,
    registered: Vec<Registration<A>>,
    last_id: ComponentId,
}

impl<A: Application> Context<A> {
    /// An id for a new component, never given before.
    pub fn allocate_id(&mut self) -> ComponentId {
        self.last_id += 1;
        self.last_id
    }

    /// Hands a new component to the loop.
    pub fn register(&mut self, id: ComponentId, component: Box<dyn Connection<A>>) {
        self.registered.push(Registration { id, component });
    }

    /// Sends a message to a component; it is delivered after the present callback.
    pub fn send(&mut self, receiver: ComponentId, message: impl Into<A::Message>) {
        let message = message.into();
        self.outbox.push_back(Envelope { receiver, message });
    }
}

impl<A: Application> Deref for Context<A> {
    type Target = A;
    fn deref(&self) -> &A {
        &self.application
    }
}

impl<A: Application> DerefMut for Context<A> {
    fn deref_mut(&mut self) -> &mut A {
        &mut self.application
    }
}
