//! Questions of whether a request id that is claimed is still in use. The client of the request may have disconnected,
//! and the process that holds its connection may not have noticed yet.

use super::message::{ClaimQuery, ClaimReport, HandoffMessage};
use super::request_claims::ClaimConflict;
use crate::command::{ClaimInquirer, ClientCommand, ClientSocketCommand, HandoffCommand};
use crate::component::WellKnownComponent;
use crate::state::NodeContext;
use lupincrank_placement::RequestId;
use lupincrank_reactor::ComponentId;

/// Asks the process that has claimed the id whether it is still in use. The answer is [`ClientCommand::ClaimReport`] to
/// the client connection `inquirer`; there is none if the other process can't be asked now.
pub(crate) fn ask(
    context: &mut NodeContext,
    request: RequestId,
    conflict: ClaimConflict,
    inquirer: ComponentId,
) {
    match conflict {
        ClaimConflict::ThisProcess(owner) => {
            look_at_client(context, request, owner, ClaimInquirer::Client(inquirer));
        }
        ClaimConflict::OtherProcess => ask_other_process(context, request, inquirer),
    }
}

fn ask_other_process(context: &mut NodeContext, request: RequestId, inquirer: ComponentId) {
    if !context.handoff.peer_heartbeat().answers_claim_queries {
        return;
    }
    let Some(number) = context.handoff.claim_queries.next_number(inquirer) else {
        return;
    };
    let query = ClaimQuery {
        number,
        request: request.0,
    };
    if context.handoff.send(&HandoffMessage::ClaimQuery(query)) {
        context.handoff.claim_queries.record_sent(number, inquirer);
    }
}

/// Lets the component that holds the client's connection read it, so that it notices if the client has disconnected,
/// and reports afterwards.
fn look_at_client(
    context: &mut NodeContext,
    request: RequestId,
    owner: ComponentId,
    inquirer: ClaimInquirer,
) {
    context.send(owner, ClientSocketCommand::Read);
    let command = HandoffCommand::ReportClaim { request, inquirer };
    context.send(WellKnownComponent::Handoff.id(), command);
}

/// Handles a query of the other process.
pub(super) fn on_query(context: &mut NodeContext, query: ClaimQuery) {
    let request = RequestId(query.request);
    let inquirer = ClaimInquirer::OtherProcess(query.number);
    match context.claims.owner(request) {
        Some(owner) => look_at_client(context, request, owner, inquirer),
        None => report(context, request, inquirer),
    }
}

/// Reports whether the id is in use in this process. A connection in flight to the other process is not read, so its
/// id is reported as free: the inquirer claims it again and finds who owns the connection by then.
pub(super) fn report(context: &mut NodeContext, request: RequestId, inquirer: ClaimInquirer) {
    let owner = context.claims.owner(request);
    let is_in_use = owner.is_some_and(|owner| !context.handoff.is_in_flight(owner));
    match inquirer {
        ClaimInquirer::Client(id) => context.send(id, ClientCommand::ClaimReport { is_in_use }),
        ClaimInquirer::OtherProcess(number) => {
            let report = ClaimReport { number, is_in_use };
            // If the report can't be sent, the inquirer's timeout ends its wait.
            context.handoff.send(&HandoffMessage::ClaimReport(report));
        }
    }
}

/// Handles an answer of the other process.
pub(super) fn on_report(context: &mut NodeContext, report: ClaimReport) {
    let ClaimReport { number, is_in_use } = report;
    if let Some(inquirer) = context.handoff.claim_queries.record_answer(number) {
        context.send(inquirer, ClientCommand::ClaimReport { is_in_use });
    }
}
