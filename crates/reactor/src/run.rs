//! The turns of the loop.

use crate::deadlines::Deadlines;
use crate::{Connection, Flow, Hands, Id, World, WORLD};
use polling::{Events, Poller};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::rc::Rc;
use std::time::Instant;

/// The loop with all of its objects.
pub struct Reactor<W: World> {
    /// What callbacks may use; for setting up.
    pub hands: Hands<W>,
    objects: HashMap<Id, Box<dyn Connection<W>>>,
    events: Events,
}

impl<W: World> Reactor<W> {
    /// A loop without objects. Names up to `reserved` are the program's own to give.
    pub fn new(world: W, reserved: Id) -> io::Result<Reactor<W>> {
        let hands = Hands {
            poller: Rc::new(Poller::new()?),
            deadlines: Deadlines::default(),
            world,
            outbox: VecDeque::new(),
            born: Vec::new(),
            next: reserved,
        };
        Ok(Reactor {
            hands,
            objects: HashMap::new(),
            events: Events::new(),
        })
    }

    /// Runs until the world says that it is over.
    pub fn run(&mut self) -> io::Result<()> {
        loop {
            self.settle();
            if self.hands.world.over() {
                return Ok(());
            }
            self.turn()?;
        }
    }

    /// Waits once, and calls back all that is ready or due.
    fn turn(&mut self) -> io::Result<()> {
        let wait = self
            .hands
            .deadlines
            .next()
            .map(|at| at.saturating_duration_since(Instant::now()));
        let mut events = std::mem::take(&mut self.events);
        events.clear();
        match self.hands.poller.wait(&mut events, wait) {
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {
                self.events = events;
                return Ok(());
            }
            Err(error) => return Err(error),
        }
        for first in [true, false] {
            for event in events.iter() {
                let (id, side) = (event.key as u64 / 2, event.key % 2);
                if self.hands.world.goes_first(id) == first {
                    self.call(id, |object, hands| {
                        object.ready(hands, side, event.readable, event.writable)
                    });
                    self.settle();
                }
            }
        }
        self.events = events;
        let now = Instant::now();
        while let Some((owner, purpose)) = self.hands.deadlines.due(now) {
            match owner {
                WORLD => W::due(&mut self.hands, purpose),
                _ => self.call(owner, |object, hands| object.due(hands, purpose)),
            }
            self.settle();
        }
        Ok(())
    }

    /// Delivers what was said and carries out what was decided, until nothing is left of either.
    fn settle(&mut self) {
        loop {
            self.objects.extend(self.hands.born.drain(..));
            W::settle(&mut self.hands, &mut self.objects.keys().copied());
            let Some((id, message)) = self.hands.outbox.pop_front() else {
                break;
            };
            if self.objects.contains_key(&id) {
                self.call(id, |object, hands| object.told(hands, message));
            } else {
                self.hands.world.unheard(id, message);
            }
        }
    }

    fn call(
        &mut self,
        id: Id,
        with: impl FnOnce(&mut Box<dyn Connection<W>>, &mut Hands<W>) -> Flow,
    ) {
        let Some(object) = self.objects.get_mut(&id) else {
            return;
        };
        if with(object, &mut self.hands) == Flow::Done {
            self.objects.remove(&id);
            self.hands.deadlines.forget(id);
        }
    }
}
