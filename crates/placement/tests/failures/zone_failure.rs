//! Zones whose servers are all unreachable.

use crate::common::*;
use crate::fixtures::*;
use lupincrank_placement::*;

/// A balancer with servers in two zones, the second of which is lost, and the number of attempts that failed there.
struct LostZone {
    harness: Harness,
    failure_count: usize,
}

impl LostZone {
    fn new() -> LostZone {
        let settings = Settings {
            max_attempts: 9,
            ..idempotent_settings()
        };
        let mut harness = Harness::new(settings, 1);
        let zoned_endpoint = |n: u32| Endpoint {
            zone: n % 2,
            ..endpoint(&format!("s{n}"))
        };
        harness.set_endpoints((0..16).map(zoned_endpoint).collect());
        LostZone {
            harness,
            failure_count: 0,
        }
    }

    fn is_sent_to_lost_zone(&self, id: u64) -> bool {
        let server = self.harness.server_of(id);
        server.is_some_and(|server| server[1..].parse::<u32>().unwrap() % 2 == 1)
    }

    /// Receives a request whose attempts in the lost zone fail, up to a total of `max_failures`, and then cancels it.
    /// Returns true if its last attempt was in flight to the lost zone.
    fn request_reaches_lost_zone(&mut self, id: u64, max_failures: usize) -> bool {
        let deadline = self.harness.now + 5_000 * MS;
        self.harness
            .receive(request(id, &format!("user:{id}"), deadline));
        while self.failure_count < max_failures && self.is_sent_to_lost_zone(id) {
            self.failure_count += 1;
            self.harness.end_attempt(id, Outcome::ConnectFailed);
        }
        let record = &self.harness.requests[&id];
        let is_in_lost_zone =
            self.is_sent_to_lost_zone(id) && record.attempts.last().unwrap().is_in_flight();
        if !record.is_answered() {
            self.harness.end_attempt(id, Outcome::NotSent);
        }
        is_in_lost_zone
    }
}

/// Guards against a node that tries each server of a lost zone by a separate attempt, three per request.
#[test]
fn unreachable_servers_make_their_zone_unreachable_for_a_while() {
    check_zone_is_avoided_after(2, LostZone::new());
    let mut with_connection = LostZone::new();
    let now = with_connection.harness.now;
    with_connection
        .harness
        .inherit_connection(request(0, "user:0", now), "s15");
    check_zone_is_avoided_after(3, with_connection);
}

fn check_zone_is_avoided_after(failures: usize, mut zone: LostZone) {
    for id in 1..200 {
        zone.request_reaches_lost_zone(id, failures);
    }
    assert_eq!(zone.failure_count, failures);
    assert!(
        !(200..400).any(|id| zone.request_reaches_lost_zone(id, 0)),
        "a request was sent to the unreachable zone"
    );
    zone.harness.advance_ms(2_500);
    assert!(
        (400..600).any(|id| zone.request_reaches_lost_zone(id, 0)),
        "the zone is avoided forever"
    );
}
