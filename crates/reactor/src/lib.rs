//! The event loop of a program: it waits for sockets and deadlines, and calls the components that own them.
//!
//! A program implements [`Application`] for the state that all of its components share, and [`Connection`] for each
//! kind of component. The loop ([`Reactor`]) owns the components and passes [`Context`] to every callback.

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

/// The id of a component. Ids are never reused within a process.
pub type ComponentId = u64;

/// The owner of deadlines that belong to the application and to no component.
pub const APPLICATION: ComponentId = 0;

/// The maximum number of sockets of a component.
const SOCKETS_PER_COMPONENT: usize = 2;

/// Returns the poller's key for one of a component's two sockets (`socket` is 0 or 1).
pub fn poller_key(id: ComponentId, socket: usize) -> usize {
    id as usize * SOCKETS_PER_COMPONENT + socket
}

/// Returns the component and its socket for a poller's key.
fn component_of(key: usize) -> (ComponentId, usize) {
    (
        (key / SOCKETS_PER_COMPONENT) as ComponentId,
        key % SOCKETS_PER_COMPONENT,
    )
}

/// The result of a callback: whether the component stays registered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// The component stays registered.
    Continue,
    /// The component is dropped, with its sockets and deadlines.
    Close,
}

/// The events that a socket is registered for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interest {
    /// Readable data, or the end of the stream.
    pub readable: bool,
    /// Room to write, or the outcome of a connect.
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

/// The events that a socket reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Readiness {
    /// Data can be read, or the stream has ended.
    pub readable: bool,
    /// Data can be written, or a connect has completed or failed.
    pub writable: bool,
}

/// The state that a program's components share, with the hooks that the loop calls between callbacks.
pub trait Application: Sized {
    /// The messages that components send each other through [`Context::send`].
    type Message;
    /// The kind of a deadline. Deadlines of one owner that are due at the same instant fire in this order.
    type DeadlineKind: Copy + Ord;

    /// Executes pending decisions after each callback and each message. `components` iterates over the ids of all
    /// registered components, in no particular order.
    fn after_callback(
        context: &mut Context<Self>,
        components: &mut dyn Iterator<Item = ComponentId>,
    );

    /// Called when a deadline owned by [`APPLICATION`] has passed.
    fn on_deadline(context: &mut Context<Self>, kind: Self::DeadlineKind);

    /// Returns true if the loop is to end; called once per turn.
    fn is_finished(&self) -> bool;

    /// Called with a message whose receiver has closed. Dropping the message releases its resources.
    fn on_undelivered(&mut self, id: ComponentId, message: Self::Message);

    /// Returns true if events of this component are handled before those of others in the same turn.
    fn has_priority(&self, _id: ComponentId) -> bool {
        false
    }
}

/// A component of the loop: a connection, a listener, or another source of events.
pub trait Connection<A: Application> {
    /// Called when the component's socket number `socket` (0 or 1) is ready.
    fn on_ready(
        &mut self,
        context: &mut Context<A>,
        socket: usize,
        readiness: Readiness,
    ) -> Lifecycle;

    /// Called when one of the component's deadlines has passed.
    fn on_deadline(&mut self, context: &mut Context<A>, kind: A::DeadlineKind) -> Lifecycle;

    /// Called with a message for this component.
    fn on_message(&mut self, context: &mut Context<A>, message: A::Message) -> Lifecycle;
}

/// An undelivered message with its receiver.
struct Envelope<M> {
    receiver: ComponentId,
    message: M,
}

/// A new component, which the loop registers after the current callback.
struct Registration<A: Application> {
    id: ComponentId,
    component: Box<dyn Connection<A>>,
}

/// The context that is passed to callbacks. It dereferences to the application, so the application's fields can be
/// accessed directly.
pub struct Context<A: Application> {
    /// The poller that sockets are registered with.
    pub poller: Rc<Poller>,
    /// All deadlines of the program.
    pub deadlines: Deadlines<A::DeadlineKind>,
    /// The state that components share.
    pub application: A,
    outbox: VecDeque<Envelope<A::Message>>,
    new_components: Vec<Registration<A>>,
    last_id: ComponentId,
}

impl<A: Application> Context<A> {
    /// Returns a new component id.
    pub fn allocate_id(&mut self) -> ComponentId {
        self.last_id += 1;
        self.last_id
    }

    /// Registers a new component with the loop after the current callback.
    pub fn register(&mut self, id: ComponentId, component: Box<dyn Connection<A>>) {
        self.new_components.push(Registration { id, component });
    }

    /// Sends a message to a component; it is delivered after the current callback.
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
