//! The event loop: each turn waits, calls the components that are ready or due, and delivers messages.

use crate::deadlines::Deadlines;
use crate::{
    component_of, Application, ComponentId, Connection, Context, Envelope, Lifecycle, Readiness,
    APPLICATION,
};
use polling::{Events, Poller};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::rc::Rc;
use std::time::Instant;

/// The event loop with its components.
pub struct Reactor<A: Application> {
    /// The context of callbacks; public so that a program can register its initial components.
    pub context: Context<A>,
    components: HashMap<ComponentId, Box<dyn Connection<A>>>,
    events: Events,
}

impl<A: Application> Reactor<A> {
    /// Creates a loop without components. Ids up to `last_reserved_id` are never allocated: the program assigns them.
    ///
    /// # Errors
    /// If the poller cannot be created.
    pub fn new(application: A, last_reserved_id: ComponentId) -> io::Result<Reactor<A>> {
        let context = Context {
            poller: Rc::new(Poller::new()?),
            deadlines: Deadlines::default(),
            application,
            outbox: VecDeque::new(),
            new_components: Vec::new(),
            last_id: last_reserved_id,
        };
        Ok(Reactor {
            context,
            components: HashMap::new(),
            events: Events::new(),
        })
    }

    /// Runs until the application is finished.
    ///
    /// # Errors
    /// If waiting for events fails, except when a signal interrupts it.
    pub fn run(&mut self) -> io::Result<()> {
        loop {
            self.deliver_messages();
            if self.context.application.is_finished() {
                return Ok(());
            }
            self.run_turn()?;
        }
    }

    /// Waits once, and calls the components that are ready or due.
    fn run_turn(&mut self) -> io::Result<()> {
        let timeout = self
            .context
            .deadlines
            .next()
            .map(|due_at| due_at.saturating_duration_since(Instant::now()));
        let mut events = std::mem::take(&mut self.events);
        events.clear();
        match self.context.poller.wait(&mut events, timeout) {
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {
                self.events = events;
                return Ok(());
            }
            Err(error) => return Err(error),
        }
        self.dispatch_events(&events);
        self.events = events;
        self.fire_deadlines();
        Ok(())
    }

    /// Calls the owners of ready sockets, those with priority first.
    fn dispatch_events(&mut self, events: &Events) {
        for with_priority in [true, false] {
            for event in events.iter() {
                let (id, socket) = component_of(event.key);
                if self.context.application.has_priority(id) != with_priority {
                    continue;
                }
                let readiness = Readiness {
                    readable: event.readable,
                    writable: event.writable,
                };
                self.call(id, |component, context| {
                    component.on_ready(context, socket, readiness)
                });
                self.deliver_messages();
            }
        }
    }

    /// Calls the owners of all deadlines that have passed.
    fn fire_deadlines(&mut self) {
        let now = Instant::now();
        while let Some(deadline) = self.context.deadlines.pop_due(now) {
            if deadline.owner == APPLICATION {
                A::on_deadline(&mut self.context, deadline.kind);
            } else {
                self.call(deadline.owner, |component, context| {
                    component.on_deadline(context, deadline.kind)
                });
            }
            self.deliver_messages();
        }
    }

    /// Delivers messages and lets the application execute its decisions, until neither are pending.
    fn deliver_messages(&mut self) {
        loop {
            for registration in self.context.new_components.drain(..) {
                self.components
                    .insert(registration.id, registration.component);
            }
            A::after_callback(&mut self.context, &mut self.components.keys().copied());
            let Some(Envelope { receiver, message }) = self.context.outbox.pop_front() else {
                break;
            };
            if self.components.contains_key(&receiver) {
                self.call(receiver, |component, context| {
                    component.on_message(context, message)
                });
            } else {
                self.context.application.on_undelivered(receiver, message);
            }
        }
    }

    /// Calls a component, and drops it if it closes.
    fn call(
        &mut self,
        id: ComponentId,
        callback: impl FnOnce(&mut Box<dyn Connection<A>>, &mut Context<A>) -> Lifecycle,
    ) {
        let Some(component) = self.components.get_mut(&id) else {
            return;
        };
        if callback(component, &mut self.context) == Lifecycle::Close {
            self.components.remove(&id);
            self.context.deadlines.clear_all(id);
        }
    }
}
