//! Short calls to a node: PING where clients connect, and its state at the second address. The front of clients goes by the
//! first, so it sees a death or a freeze a moment late, as real ones do.

use crate::processes::State;
use crate::stage::Stage;
use lupincrank_reactor::poll;
use lupincrank_reactor::Readiness;
use lupincrank_reactor::{ComponentId, Connection, Context, Lifecycle};
use lupincrank_test_servers::lines::Lines;
use lupincrank_test_servers::{key, Note};
use std::time::{Duration, Instant};

/// A node that answers neither in this time counts as not there.
const ANSWER: Duration = Duration::from_millis(800);

struct Call {
    id: ComponentId,
    node: usize,
    /// Which life of it.
    life: u32,
    lines: Lines,
    said: bool,
    what: What,
}

/// What is asked.
#[derive(Clone, Copy, PartialEq, Eq)]
enum What {
    Ping,
    Status,
    Whole(u32),
}

/// Asks whether it takes clients.
pub fn ping(context: &mut Context<Stage>, node: usize) {
    begin(context, node, What::Ping);
}

/// Asks how it stands in its fleet.
pub fn status(context: &mut Context<Stage>, node: usize) {
    begin(context, node, What::Status);
}

/// Sets the whole of the cold budget.
pub fn set_whole(context: &mut Context<Stage>, node: usize, whole: u32) {
    begin(context, node, What::Whole(whole));
}

fn begin(context: &mut Context<Stage>, node: usize, what: What) {
    let pings = what == What::Ping;
    let id = context.allocate_id();
    let one = &context.application.nodes[node];
    let (at, life) = (
        if pings {
            one.listen()
        } else {
            one.management()
        },
        one.lives,
    );
    match poll::connect(&context.poller, at, key(id, 0)) {
        Ok(stream) => {
            context.deadlines.set(id, 0, Instant::now() + ANSWER);
            context.register(
                id,
                Box::new(Call {
                    id,
                    node,
                    life,
                    lines: Lines::new(stream),
                    said: false,
                    what,
                }),
            );
        }
        Err(_) if pings => context.application.nodes[node].in_front = false,
        Err(_) => {}
    }
}

impl Call {
    fn answered(&self, context: &mut Context<Stage>, line: Option<&str>) -> Lifecycle {
        let node = &mut context.application.nodes[self.node];
        if node.lives == self.life {
            if let What::Whole(whole) = self.what {
                let line = line.unwrap_or("no answer").to_string();
                context.event(format!("cold budget set to {whole}: {line}"), false);
            } else if self.what == What::Ping {
                node.in_front = line == Some("PONG") && node.state != State::Dead;
            } else {
                let told = line.and_then(|line| line.strip_prefix("done "));
                if let Some(told) =
                    told.and_then(|told| serde_json::from_str::<serde_json::Value>(told).ok())
                {
                    let stamp = told["council"]["stamp"].to_string();
                    if !node.foreign && stamp != "null" {
                        context.application.councils.insert(stamp);
                    }
                    context.application.nodes[self.node].status = Some((Instant::now(), told));
                }
            }
        }
        Lifecycle::Close
    }

    fn step(&mut self, readable: bool) -> Result<Option<String>, ()> {
        if !self.said {
            if !matches!(self.lines.stream.take_error(), Ok(None)) {
                return Err(());
            }
            self.said = true;
            let line = match self.what {
                What::Ping => "PING\r\n".to_string(),
                What::Status => "fleet status\r\n".to_string(),
                What::Whole(whole) => format!("budgets set cold={whole}\r\n"),
            };
            self.lines.say(&line).map_err(drop)?;
        }
        if readable {
            self.lines.read().map_err(drop)?;
        }
        match self.lines.line() {
            Some(line) => Ok(Some(line)),
            None if self.lines.ended => Err(()),
            None => Ok(None),
        }
    }
}

impl Connection<Stage> for Call {
    fn on_ready(
        &mut self,
        context: &mut Context<Stage>,
        _socket: usize,
        readiness: Readiness,
    ) -> Lifecycle {
        match self.step(readiness.readable) {
            Ok(Some(line)) => self.answered(context, Some(&line)),
            Ok(None) => Lifecycle::Continue,
            Err(()) => self.answered(context, None),
        }
    }

    fn on_deadline(&mut self, context: &mut Context<Stage>, _kind: u64) -> Lifecycle {
        context.deadlines.clear(self.id, 0);
        self.answered(context, None)
    }

    fn on_message(&mut self, _context: &mut Context<Stage>, _note: Note) -> Lifecycle {
        Lifecycle::Close
    }
}
