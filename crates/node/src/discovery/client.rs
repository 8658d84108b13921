//! The event loop component that watches the endpoint list. It makes a second call in parallel with an unanswered one.

use super::call::{Call, DiscoveryError, WriteState};
use super::chunked::BodyState;
use super::endpoint_list::EndpointListUpdate;
use super::merged_list::{MergeOutcome, WatchPosition};
use crate::command::{DiscoveryCommand, HandoffCommand, Message};
use crate::component::WellKnownComponent;
use crate::config::Config;
use crate::deadline::{DeadlineKind, DiscoveryDeadline};
use crate::handoff::endpoint_lists;
use crate::state::{NodeContext, NodeState};
use lupincrank_placement::poll_schedule;
use lupincrank_reactor::poll::is_local_failure;
use lupincrank_reactor::{poller_key, Connection, Lifecycle, Readiness};
use slog::{debug, info, warn};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time after which an unanswered call has failed. A second call has been made in parallel by then.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(4500);
/// Time after which a connection that is not established has failed. It covers the kernel's first retry, after 1 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1250);
/// Delay before a retry of a call that has failed for a local reason. A local failure is no evidence against discovery,
/// and must not use up the time that is available for calls to it.
const LOCAL_FAILURE_BACKOFF: Duration = Duration::from_millis(20);
/// Consecutive local failures after which a further one counts as a failed call.
const MAX_LOCAL_FAILURES: u32 = 50;
/// Time without a complete object or an empty line after which a watch has failed. Discovery sends an empty line every
/// 2 s. Changes that the watch misses must be received within 6 s of its last data, which leaves time for a call, with
/// a delay that spreads the calls of all nodes, and for a second call if the first one hangs.
const WATCH_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of bytes per read.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// Limit of reads of one call in one turn of the event loop, so that a long list does not delay clients.
const MAX_READS_PER_TURN: usize = 16;
/// Maximum number of open calls: the watch, or the calls that are to open it.
const CALL_SLOTS: usize = 2;

/// The client of service discovery.
pub(crate) struct DiscoveryClient {
    address: SocketAddr,
    /// The second call is made if the first is unanswered. The first call to receive an empty line or a complete object
    /// becomes the watch, and the other one is closed.
    calls: [Option<Call>; CALL_SLOTS],
    /// Number of consecutive calls that failed for a local reason.
    local_failures: u32,
}

impl DiscoveryClient {
    /// Creates a client without a connection.
    pub(crate) fn new(config: &Config) -> DiscoveryClient {
        DiscoveryClient {
            address: config.discovery_address,
            calls: [None, None],
            local_failures: 0,
        }
    }

    /// Returns true if a call is in progress or a watch is open.
    fn has_call(&self) -> bool {
        self.calls.iter().any(Option::is_some)
    }

    /// Applies the endpoint list of the configuration, once.
    fn apply_known_list(context: &mut NodeContext) {
        let Some(known_list) = context.config.known_endpoints.take() else {
            return;
        };
        let NodeState {
            placement,
            endpoint_list,
            ..
        } = &mut context.application;
        if let Err(error) = endpoint_list.apply_known(placement, &known_list) {
            warn!(context.log, "known endpoint list rejected"; "error" => %error);
        }
    }

    /// Makes a call. If it can't be started, it has failed, unless the reason is local and temporary.
    fn call(&mut self, context: &mut NodeContext) {
        match self.start_call(context) {
            Ok(()) => {
                self.local_failures = 0;
                clear_deadline(context, DiscoveryDeadline::RetryCall);
            }
            Err(error) if is_local_failure(&error) && self.local_failures < MAX_LOCAL_FAILURES => {
                self.local_failures += 1;
                Self::log_failure(context, &error.into());
                let retry_at = Instant::now() + LOCAL_FAILURE_BACKOFF;
                set_deadline(context, DiscoveryDeadline::RetryCall, retry_at);
            }
            Err(error) => {
                self.local_failures = 0;
                self.on_failure(context, &error.into());
            }
        }
    }

    /// Starts a call. If two calls are open, the older one is closed.
    fn start_call(&mut self, context: &mut NodeContext) -> io::Result<()> {
        let slot = self.slot_for_new_call();
        self.close_call(context, slot);
        let now = Instant::now();
        let since_contact = context.endpoint_list.time_since_contact();
        let timeout = poll_schedule::unanswered_call_timeout(since_contact, self.has_call());
        set_deadline(context, DiscoveryDeadline::SecondCall, now + timeout);
        let position = context.endpoint_list.watch_position();
        debug!(context.log, "calling discovery"; "seq" => position.list.version, "beside" => self.has_call());
        let key = poller_key(WellKnownComponent::Discovery.id(), slot);
        let call = Call::start(&context.poller, key, self.address, position, now)?;
        self.calls[slot] = Some(call);
        set_deadline(
            context,
            DiscoveryDeadline::Call(slot),
            now + CONNECT_TIMEOUT,
        );
        Ok(())
    }

    /// Returns a free slot, or that of the older call.
    fn slot_for_new_call(&self) -> usize {
        let [first, second] = self
            .calls
            .each_ref()
            .map(|call| call.as_ref().map(Call::started_at));
        usize::from(second < first)
    }

    fn close_call(&mut self, context: &mut NodeContext, slot: usize) {
        self.calls[slot] = None;
        clear_deadline(context, DiscoveryDeadline::Call(slot));
    }

    /// Handles the failure of a call, which is already closed. A parallel call continues.
    fn on_failure(&mut self, context: &mut NodeContext, error: &DiscoveryError) {
        Self::log_failure(context, error);
        if !self.has_call() {
            clear_deadline(context, DiscoveryDeadline::SecondCall);
            context.placement.on_watch_failed();
        }
    }

    fn log_failure(context: &NodeContext, error: &DiscoveryError) {
        let version = context.endpoint_list.position().version;
        warn!(context.log, "discovery failed"; "error" => %error, "seq" => version);
    }

    /// Handles the readiness of a call's socket.
    fn on_call_ready(
        &mut self,
        context: &mut NodeContext,
        slot: usize,
    ) -> Result<(), DiscoveryError> {
        let Some(call) = &mut self.calls[slot] else {
            return Ok(());
        };
        if call.is_connecting() {
            call.finish_connect()?;
            let deadline = Instant::now() + ANSWER_TIMEOUT;
            set_deadline(context, DiscoveryDeadline::Call(slot), deadline);
        }
        match call.send_request()? {
            WriteState::Pending => Ok(()),
            WriteState::Sent => self.read_call(context, slot),
        }
    }

    fn read_call(&mut self, context: &mut NodeContext, slot: usize) -> Result<(), DiscoveryError> {
        let mut buffer = [0; READ_BUFFER_BYTES];
        for _ in 0..MAX_READS_PER_TURN {
            let Some(call) = &mut self.calls[slot] else {
                return Ok(());
            };
            let Some(length) = call.read(&mut buffer)? else {
                return Ok(());
            };
            self.on_bytes(context, slot, &buffer[..length])?;
        }
        Ok(())
    }

    /// Handles received bytes of a response.
    fn on_bytes(
        &mut self,
        context: &mut NodeContext,
        slot: usize,
        bytes: &[u8],
    ) -> Result<(), DiscoveryError> {
        let Some(call) = &mut self.calls[slot] else {
            return Ok(());
        };
        if call.is_watching() {
            return self.on_body(context, slot, bytes);
        }
        let Some(start) = call.receive_head(bytes)? else {
            return Ok(());
        };
        let version = context.endpoint_list.position().version;
        debug!(context.log, "endpoint watch established"; "seq" => version);
        if let Some(date) = start.date {
            context.placement.on_discovery_date(date);
        }
        self.on_body(context, slot, &start.body)
    }

    /// Handles received bytes of a watch's body.
    fn on_body(
        &mut self,
        context: &mut NodeContext,
        slot: usize,
        bytes: &[u8],
    ) -> Result<(), DiscoveryError> {
        let Some(call) = &mut self.calls[slot] else {
            return Ok(());
        };
        let progress = call.receive_body(bytes)?;
        let has_update = self.apply_received_updates(context, slot)?;
        let has_partial_object = self.calls[slot]
            .as_ref()
            .is_some_and(Call::has_partial_object);
        // An empty line is complete data too.
        let has_complete_data = has_update || (!has_partial_object && progress.has_data);
        let object_began = has_partial_object && !progress.had_partial_object;
        // For an incomplete object, the deadline is set once, at its beginning. Otherwise a list that is received byte
        // by byte and never ends would keep the watch open, although its changes must be received within 6 s.
        if has_complete_data || object_began {
            let deadline = Instant::now() + WATCH_TIMEOUT;
            set_deadline(context, DiscoveryDeadline::Call(slot), deadline);
        }
        if has_complete_data {
            self.on_watch_data(context, slot);
        }
        match progress.state {
            BodyState::Open => Ok(()),
            BodyState::Ended => Err(DiscoveryError::WatchEnded),
        }
    }

    /// Applies all complete updates. Returns true if there was one.
    fn apply_received_updates(
        &mut self,
        context: &mut NodeContext,
        slot: usize,
    ) -> Result<bool, DiscoveryError> {
        let mut has_update = false;
        while let Some(call) = &mut self.calls[slot] {
            let Some(object) = call.next_object()? else {
                break;
            };
            let update: EndpointListUpdate = serde_json::from_slice(&object)?;
            info!(context.log, "endpoint list changed"; "seq" => update.version, "entries" => update.endpoints.len());
            apply_update(context, &update, call.position_mut())?;
            has_update = true;
        }
        Ok(has_update)
    }

    /// Handles complete data from a watch: a parallel call is closed, as it is not needed.
    fn on_watch_data(&mut self, context: &mut NodeContext, slot: usize) {
        if context.endpoint_list.on_watch_data() {
            endpoint_lists::share_complete_list(context);
        }
        let other_slot = CALL_SLOTS - 1 - slot;
        self.close_call(context, other_slot);
        clear_deadline(context, DiscoveryDeadline::SecondCall);
        context.placement.on_discovery_answer();
        context.send(
            WellKnownComponent::Handoff.id(),
            HandoffCommand::OpenListener,
        );
    }

    /// Handles a call whose connection, answer or next part of the body is overdue.
    fn on_call_timeout(&mut self, context: &mut NodeContext, slot: usize) {
        let call = self.calls[slot].as_ref();
        let was_watching = call.is_some_and(Call::is_watching);
        let was_connecting = call.is_some_and(Call::is_connecting);
        self.close_call(context, slot);
        if self.has_call() {
            return self.on_failure(context, &DiscoveryError::TimedOut);
        }
        if was_watching {
            let version = context.endpoint_list.position().version;
            warn!(context.log, "endpoint watch fell silent"; "seq" => version);
            clear_deadline(context, DiscoveryDeadline::SecondCall);
            context.placement.on_watch_stalled();
            return;
        }
        // Discovery has neither refused nor closed the call, so changes may have been missed since the last contact.
        let since_contact = context.endpoint_list.time_since_contact();
        if was_connecting && poll_schedule::reconnects_immediately(since_contact) {
            Self::log_failure(context, &DiscoveryError::TimedOut);
            self.call(context);
            return;
        }
        self.on_failure(context, &DiscoveryError::TimedOut);
    }

    /// Switches to the configuration's changed address. The endpoints stay, and the watch at the new address continues
    /// from the last version received from the old one.
    fn change_address(&mut self, context: &mut NodeContext) {
        self.address = context.config.discovery_address;
        for slot in 0..CALL_SLOTS {
            self.close_call(context, slot);
        }
    }
}

/// Applies an update that a watch has received, and passes it on to the other process of the node. `watch` is the
/// position of the watch before the update, and is advanced.
fn apply_update(
    context: &mut NodeContext,
    update: &EndpointListUpdate,
    watch: &mut WatchPosition,
) -> Result<(), DiscoveryError> {
    let NodeState {
        placement,
        endpoint_list,
        ..
    } = &mut context.application;
    let previous = endpoint_list.position();
    let outcome = endpoint_list.apply_discovery_update(placement, update, watch)?;
    match outcome {
        MergeOutcome::Merged => endpoint_lists::share_update(context, update, previous),
        MergeOutcome::Outdated if update.is_complete => return Err(DiscoveryError::OutdatedList),
        MergeOutcome::Outdated => {}
    }
    Ok(())
}

fn set_deadline(context: &mut NodeContext, deadline: DiscoveryDeadline, expires_at: Instant) {
    context.deadlines.set(
        WellKnownComponent::Discovery.id(),
        deadline.into(),
        expires_at,
    );
}

fn clear_deadline(context: &mut NodeContext, deadline: DiscoveryDeadline) {
    context
        .deadlines
        .clear(WellKnownComponent::Discovery.id(), deadline.into());
}

impl Connection<NodeState> for DiscoveryClient {
    fn on_ready(
        &mut self,
        context: &mut NodeContext,
        socket: usize,
        _readiness: Readiness,
    ) -> Lifecycle {
        if let Err(error) = self.on_call_ready(context, socket) {
            context.endpoint_list.on_contact();
            self.close_call(context, socket);
            self.on_failure(context, &error);
        }
        Lifecycle::Continue
    }

    fn on_deadline(&mut self, context: &mut NodeContext, kind: DeadlineKind) -> Lifecycle {
        match kind {
            DeadlineKind::Discovery(DiscoveryDeadline::Call(slot)) => {
                self.on_call_timeout(context, slot);
            }
            _ => self.call(context),
        }
        Lifecycle::Continue
    }

    fn on_message(&mut self, context: &mut NodeContext, message: Message) -> Lifecycle {
        let Message::Discovery(command) = message else {
            return Lifecycle::Continue;
        };
        if command == DiscoveryCommand::AddressChanged {
            self.change_address(context);
        }
        Self::apply_known_list(context);
        // If a call is in progress, this command is outdated: it was sent after an earlier failure, before the address
        // changed.
        if command != DiscoveryCommand::ApplyKnownList && !self.has_call() {
            self.call(context);
        }
        Lifecycle::Continue
    }
}
