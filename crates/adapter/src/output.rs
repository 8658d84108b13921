//! Formats actions as lines of the external simulator's protocol.

use lupincrank_placement::{Action, RequestId};
use std::fmt::Display;
use std::io::Write;

/// Appends the line that ends the reply to a batch.
pub fn write_end_of_reply(reply: &mut Vec<u8>) {
    reply.extend_from_slice(b"{\"op\":\"YIELD\"}\n");
}

/// Appends an action of the instance with the given name.
pub fn write_action(reply: &mut Vec<u8>, instance: &str, action: Action) {
    let who = json_string(instance);
    let written = match action {
        Action::StartAttempt {
            request,
            server,
            timeout,
        } => writeln!(
            reply,
            r#"{{"op":"ISSUE","Who":{who},"Req":{},"TryForNs":{},"Server":{}}}"#,
            request_id(request),
            timeout.as_nanos().max(1),
            json_string(&server.0)
        ),
        Action::Reject {
            request,
            retry_after,
        } => writeln!(
            reply,
            r#"{{"op":"NOT_NOW","Who":{who},"Req":{},"StayAwayNs":{}}}"#,
            request_id(request),
            retry_after.as_nanos()
        ),
        Action::Fail(request) => writeln!(
            reply,
            r#"{{"op":"LOSE","Who":{who},"Req":{}}}"#,
            request_id(request)
        ),
        Action::Migrate(request) => writeln!(
            reply,
            r#"{{"op":"SHIFT","Who":{who},"Req":{}}}"#,
            request_id(request)
        ),
        Action::CheckHealth(server) => writeln!(
            reply,
            r#"{{"op":"ASK_LOAD","Who":{who},"Server":{}}}"#,
            json_string(&server.0)
        ),
        Action::Gossip(message) => writeln!(
            reply,
            r#"{{"op":"SHARE","Who":{who},"Whom":-1,"Msg":{}}}"#,
            json_string(&message)
        ),
        Action::SetTimer { after, timer } => writeln!(
            reply,
            r#"{{"op":"DEFER","Who":{who},"AfterNs":{},"Handle":{}}}"#,
            after.as_nanos(),
            timer.handle()
        ),
        Action::WatchEndpoints => {
            writeln!(reply, r#"{{"op":"SUBSCRIBE","Who":{who},"Want":true}}"#)
        }
    };
    debug_assert!(written.is_ok(), "writing to memory cannot fail");
}

/// Returns the text as a JSON string, quoted and escaped.
fn json_string(text: &str) -> impl Display {
    serde_json::Value::from(text)
}

/// Returns the identifier as a JSON string of 16 hexadecimal digits.
fn request_id(request: RequestId) -> impl Display {
    format!("\"{:016x}\"", request.0)
}
