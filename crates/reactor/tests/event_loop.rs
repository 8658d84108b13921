//! The order of callbacks, and their end when a component closes.

use lupincrank_reactor::poll::Registered;
use lupincrank_reactor::{
    poller_key, Application, ComponentId, Connection, Context, Interest, Lifecycle, Reactor,
    Readiness, APPLICATION,
};
use std::io::Write;
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};

/// Ids up to this one are not allocated.
const LAST_RESERVED_ID: ComponentId = 10;
/// The application's deadline that ends the loop.
const FINISH: u8 = 255;

/// A recorded callback.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Callback {
    Ready(ComponentId),
    Deadline(ComponentId, u8),
    Message(ComponentId, Command),
    Undelivered(ComponentId, Command),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Command {
    Continue,
    Close,
}

#[derive(Default)]
struct Recorder {
    callbacks: Vec<Callback>,
    priority: Option<ComponentId>,
    is_finished: bool,
}

impl Application for Recorder {
    type Message = Command;
    type DeadlineKind = u8;

    fn after_callback(
        _context: &mut Context<Recorder>,
        _components: &mut dyn Iterator<Item = ComponentId>,
    ) {
    }

    fn on_deadline(context: &mut Context<Recorder>, kind: u8) {
        context.is_finished = kind == FINISH;
    }

    fn is_finished(&self) -> bool {
        self.is_finished
    }

    fn on_undelivered(&mut self, id: ComponentId, message: Command) {
        self.callbacks.push(Callback::Undelivered(id, message));
    }

    fn has_priority(&self, id: ComponentId) -> bool {
        self.priority == Some(id)
    }
}

/// A component that records its callbacks, and closes on [`Command::Close`].
struct RecordedComponent {
    id: ComponentId,
    socket: Option<Registered<UnixStream>>,
}

impl Connection<Recorder> for RecordedComponent {
    fn on_ready(
        &mut self,
        context: &mut Context<Recorder>,
        _socket: usize,
        _readiness: Readiness,
    ) -> Lifecycle {
        context.callbacks.push(Callback::Ready(self.id));
        if let Some(socket) = &mut self.socket {
            let _ = socket.read(&mut [0; 16]).unwrap();
        }
        Lifecycle::Continue
    }

    fn on_deadline(&mut self, context: &mut Context<Recorder>, kind: u8) -> Lifecycle {
        context.callbacks.push(Callback::Deadline(self.id, kind));
        Lifecycle::Continue
    }

    fn on_message(&mut self, context: &mut Context<Recorder>, message: Command) -> Lifecycle {
        context.callbacks.push(Callback::Message(self.id, message));
        match message {
            Command::Continue => Lifecycle::Continue,
            Command::Close => Lifecycle::Close,
        }
    }
}

fn reactor() -> Reactor<Recorder> {
    Reactor::new(Recorder::default(), LAST_RESERVED_ID).unwrap()
}

fn add_component(context: &mut Context<Recorder>) -> ComponentId {
    let id = context.allocate_id();
    context.register(id, Box::new(RecordedComponent { id, socket: None }));
    id
}

/// Adds a component with a readable socket; returns its id and the socket's other end.
fn add_readable_component(context: &mut Context<Recorder>) -> (ComponentId, UnixStream) {
    let id = context.allocate_id();
    let (socket, mut other_end) = UnixStream::pair().unwrap();
    other_end.write_all(&[1]).unwrap();
    let key = poller_key(id, 0);
    let socket = Registered::new(&context.poller, socket, key, Interest::READ).unwrap();
    let component = RecordedComponent {
        id,
        socket: Some(socket),
    };
    context.register(id, Box::new(component));
    (id, other_end)
}

/// Runs the loop for 60 ms and returns the recorded callbacks.
fn run(mut reactor: Reactor<Recorder>) -> Vec<Callback> {
    let finish_at = Instant::now() + Duration::from_millis(60);
    let deadlines = &mut reactor.context.deadlines;
    deadlines.set(APPLICATION, FINISH, finish_at);
    reactor.run().unwrap();
    reactor.context.application.callbacks
}

#[test]
fn allocated_ids_begin_after_the_reserved_ones() {
    let mut reactor = reactor();
    assert_eq!(reactor.context.allocate_id(), LAST_RESERVED_ID + 1);
    assert_eq!(reactor.context.allocate_id(), LAST_RESERVED_ID + 2);
}

#[test]
fn deadlines_fire_by_time_and_then_by_kind() {
    let mut reactor = reactor();
    let id = add_component(&mut reactor.context);
    let soon = Instant::now() + Duration::from_millis(5);
    let later = soon + Duration::from_millis(5);
    reactor.context.deadlines.set(id, 0, later);
    reactor.context.deadlines.set(id, 2, soon);
    reactor.context.deadlines.set(id, 1, soon);
    let expected = [1, 2, 0].map(|kind| Callback::Deadline(id, kind));
    assert_eq!(run(reactor), expected);
}

#[test]
fn messages_are_delivered_in_the_order_of_sending() {
    let mut reactor = reactor();
    let first = add_component(&mut reactor.context);
    let second = add_component(&mut reactor.context);
    reactor.context.send(second, Command::Continue);
    reactor.context.send(first, Command::Continue);
    let expected = [second, first].map(|id| Callback::Message(id, Command::Continue));
    assert_eq!(run(reactor), expected);
}

#[test]
fn a_closed_component_receives_neither_messages_nor_deadlines() {
    let mut reactor = reactor();
    let id = add_component(&mut reactor.context);
    let soon = Instant::now() + Duration::from_millis(5);
    reactor.context.deadlines.set(id, 0, soon);
    reactor.context.send(id, Command::Close);
    reactor.context.send(id, Command::Continue);
    let expected = [
        Callback::Message(id, Command::Close),
        Callback::Undelivered(id, Command::Continue),
    ];
    assert_eq!(run(reactor), expected);
}

#[test]
fn a_component_with_priority_is_called_first() {
    for prioritized in [0, 1] {
        let mut reactor = reactor();
        let components = [0, 1].map(|_| add_readable_component(&mut reactor.context));
        let ids = [components[0].0, components[1].0];
        let prioritized_id = ids[prioritized];
        let other_id = ids[1 - prioritized];
        reactor.context.application.priority = Some(prioritized_id);
        let expected = [Callback::Ready(prioritized_id), Callback::Ready(other_id)];
        assert_eq!(run(reactor), expected);
    }
}
