//! Short calls to nodes: PING at the client address, and commands at the admin address.
//!
//! Clients connect only to nodes that answer PING. The failure of a node is therefore detected with a delay, as by the
//! health checks of a real load balancer in front of the nodes.

use crate::deadline::DeadlineKind;
use crate::harness::{Harness, HarnessContext};
use crate::node_process::ProcessState;
use lupincrank_reactor::poll;
use lupincrank_reactor::{poller_key, ComponentId, Connection, Lifecycle, Readiness};
use lupincrank_test_servers::line_stream::LineStream;
use lupincrank_test_servers::Command;
use serde_json::Value;
use std::time::{Duration, Instant};

/// A call without an answer within this time has failed.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// The request of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Request {
    /// Asks whether the node accepts clients.
    Ping,
    /// Asks for the state of the node's cluster.
    Status,
    /// Changes the limit of the slow-start budget.
    SetBudget { limit: u32 },
}

impl Request {
    fn line(self) -> String {
        match self {
            Request::Ping => "PING\r\n".to_string(),
            Request::Status => "fleet status\r\n".to_string(),
            Request::SetBudget { limit } => format!("budgets set cold={limit}\r\n"),
        }
    }
}

/// The progress of a call.
enum CallProgress {
    Pending,
    Answered(String),
    Failed,
}

/// A call to a node.
struct Call {
    id: ComponentId,
    node: usize,
    /// The node's start count at the time of the call. The answer is ignored if the node has been restarted since.
    start_count: u32,
    lines: LineStream,
    is_sent: bool,
    request: Request,
}

/// Asks a node whether it accepts clients.
pub(crate) fn ping(context: &mut HarnessContext, node: usize) {
    call(context, node, Request::Ping);
}

/// Asks a node for the state of its cluster.
pub(crate) fn request_status(context: &mut HarnessContext, node: usize) {
    call(context, node, Request::Status);
}

/// Sets the limit of the slow-start budget.
pub(crate) fn set_budget(context: &mut HarnessContext, node: usize, limit: u32) {
    call(context, node, Request::SetBudget { limit });
}

fn call(context: &mut HarnessContext, node: usize, request: Request) {
    let id = context.allocate_id();
    let process = &mut context.application.nodes[node];
    let address = match request {
        Request::Ping => process.client_address(),
        Request::Status | Request::SetBudget { .. } => process.admin_address(),
    };
    let Ok(stream) = poll::connect(&context.poller, address, poller_key(id, 0)) else {
        if request == Request::Ping {
            process.set_accepting_clients(false);
        }
        return;
    };
    let call = Call {
        id,
        node,
        start_count: process.start_count(),
        lines: LineStream::new(stream),
        is_sent: false,
        request,
    };
    let deadline = Instant::now() + CALL_TIMEOUT;
    context
        .deadlines
        .set(id, DeadlineKind::CallTimeout, deadline);
    context.register(id, Box::new(call));
}

impl Call {
    /// Ends the call with an answer, or with `None` if it failed.
    fn finish(&self, context: &mut HarnessContext, answer: Option<&str>) -> Lifecycle {
        let node = &mut context.application.nodes[self.node];
        if node.start_count() != self.start_count {
            return Lifecycle::Close;
        }
        match self.request {
            Request::Ping => {
                let is_accepting = answer == Some("PONG") && node.state() != ProcessState::Stopped;
                node.set_accepting_clients(is_accepting);
            }
            Request::Status => self.record_status(context, answer),
            Request::SetBudget { limit } => {
                let answer = answer.unwrap_or("no answer");
                context.record_event(format!("cold budget set to {limit}: {answer}"));
            }
        }
        Lifecycle::Close
    }

    fn record_status(&self, context: &mut HarnessContext, answer: Option<&str>) {
        let json = answer.and_then(|answer| answer.strip_prefix("done "));
        let Some(status) = json.and_then(|json| serde_json::from_str::<Value>(json).ok()) else {
            return;
        };
        let node = &mut context.application.nodes[self.node];
        let cluster_id = &status["council"]["stamp"];
        if !node.is_foreign() && !cluster_id.is_null() {
            let cluster_id = cluster_id.to_string();
            context.application.cluster_ids.insert(cluster_id);
        }
        context.application.nodes[self.node].set_status(status);
    }

    fn advance(&mut self, is_readable: bool) -> CallProgress {
        if self.send_once().is_err() || (is_readable && self.lines.read().is_err()) {
            return CallProgress::Failed;
        }
        match self.lines.next_line() {
            Some(line) => CallProgress::Answered(line),
            None if self.lines.is_ended() => CallProgress::Failed,
            None => CallProgress::Pending,
        }
    }

    fn send_once(&mut self) -> std::io::Result<()> {
        if self.is_sent {
            return Ok(());
        }
        if self.lines.has_connect_failed() {
            return Err(std::io::ErrorKind::NotConnected.into());
        }
        self.is_sent = true;
        self.lines.send(&self.request.line())
    }
}

impl Connection<Harness> for Call {
    fn on_ready(
        &mut self,
        context: &mut HarnessContext,
        _socket: usize,
        readiness: Readiness,
    ) -> Lifecycle {
        match self.advance(readiness.readable) {
            CallProgress::Answered(line) => self.finish(context, Some(&line)),
            CallProgress::Pending => Lifecycle::Continue,
            CallProgress::Failed => self.finish(context, None),
        }
    }

    fn on_deadline(&mut self, context: &mut HarnessContext, kind: DeadlineKind) -> Lifecycle {
        context.deadlines.clear(self.id, kind);
        self.finish(context, None)
    }

    fn on_message(&mut self, _context: &mut HarnessContext, _command: Command) -> Lifecycle {
        Lifecycle::Close
    }
}
