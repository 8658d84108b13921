//! The rule breaker's watch of the endpoint list.

use super::{DeadlineKind, RuleBreaker};
use lupincrank_reactor::poll;
use lupincrank_reactor::{poller_key, Connection, Context, Lifecycle, Readiness};
use lupincrank_test_servers::line_stream::LineStream;
use std::io;
use std::net::SocketAddr;

const WATCH_REQUEST: &str = "GET /v1/endpoints?watch=1&from=0 HTTP/1.1\r\nHost: x\r\n\r\n";

/// Connection to discovery that applies each line of the response that is an endpoint list.
pub(super) struct DiscoveryWatch {
    lines: LineStream,
    is_sent: bool,
}

impl DiscoveryWatch {
    /// Connects to discovery.
    pub(super) fn open(context: &mut Context<RuleBreaker>, address: SocketAddr) -> io::Result<()> {
        let id = context.allocate_id();
        let stream = poll::connect(&context.poller, address, poller_key(id, 0))?;
        let watch = DiscoveryWatch {
            lines: LineStream::new(stream),
            is_sent: false,
        };
        context.register(id, Box::new(watch));
        Ok(())
    }
}

impl Connection<RuleBreaker> for DiscoveryWatch {
    fn on_ready(
        &mut self,
        context: &mut Context<RuleBreaker>,
        _socket: usize,
        readiness: Readiness,
    ) -> Lifecycle {
        if !self.is_sent {
            self.is_sent = true;
            let _ = self.lines.send(WATCH_REQUEST);
        }
        if readiness.readable && self.lines.read().is_err() {
            return Lifecycle::Close;
        }
        while let Some(line) = self.lines.next_line() {
            if let Ok(list) = serde_json::from_str(&line) {
                context.application.apply_endpoint_list(&list);
            }
        }
        Lifecycle::Continue
    }

    fn on_deadline(
        &mut self,
        _context: &mut Context<RuleBreaker>,
        _kind: DeadlineKind,
    ) -> Lifecycle {
        Lifecycle::Continue
    }

    fn on_message(&mut self, _context: &mut Context<RuleBreaker>, _message: ()) -> Lifecycle {
        Lifecycle::Continue
    }
}
