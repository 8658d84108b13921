//! What holders and granter of a lease agree on.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The durations of leases, the same at all nodes of a fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseTerms {
    /// How long a lease may be used, by the holder's clock, from its request on.
    pub lease_duration: Duration,
    /// The span over which the budget counts usage.
    pub accounting_window: Duration,
    /// The most that any two clocks may differ, as a ratio of the elapsed time.
    pub max_clock_drift: f64,
    /// How often a holder renews its lease.
    pub renew_interval: Duration,
    /// How often a holder renews its lease while its usage is limited by it.
    pub renew_interval_under_pressure: Duration,
}

impl Default for LeaseTerms {
    fn default() -> LeaseTerms {
        LeaseTerms {
            lease_duration: Duration::from_secs(3),
            accounting_window: Duration::from_millis(1250),
            max_clock_drift: 0.03,
            renew_interval: Duration::from_millis(700),
            renew_interval_under_pressure: Duration::from_millis(300),
        }
    }
}

impl LeaseTerms {
    /// How long after a lease was given back its usage may still count, by the granter's clock.
    pub fn usage_expiry(&self) -> Duration {
        self.accounting_window.mul_f64(1.0 + self.max_clock_drift)
    }

    /// How long after a grant was applied its usage may still count, by the granter's clock.
    pub fn safe_expiry(&self) -> Duration {
        (self.lease_duration + self.accounting_window).mul_f64(1.0 + self.max_clock_drift)
    }
}

/// A holder's request for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Increases with each request of the holder.
    pub request_number: u64,
    /// The most units that may have been in use at any time within the accounting window before, and so still count.
    pub in_use: u32,
    /// The units that the holder needs, by its usage.
    pub demand: u32,
}
