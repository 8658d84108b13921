//! The lease terms that holders and granters share, and the lease request.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The durations of leases, the same at all nodes of a fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseTerms {
    /// The time for which a lease may be used after its request, by the holder's clock.
    pub lease_duration: Duration,
    /// The time window over which the budget counts usage.
    pub accounting_window: Duration,
    /// The maximum drift between any two clocks, as a ratio of the elapsed time.
    pub max_clock_drift: f64,
    /// The interval at which a holder renews its lease.
    pub renew_interval: Duration,
    /// The interval at which a holder renews its lease while the lease limits its usage.
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
    /// The time after the release of a lease for which its usage may still count, by the granter's clock.
    pub fn usage_expiry(&self) -> Duration {
        self.accounting_window.mul_f64(1.0 + self.max_clock_drift)
    }

    /// The time after a grant was applied for which its usage may still count, by the granter's clock.
    pub fn safe_expiry(&self) -> Duration {
        (self.lease_duration + self.accounting_window).mul_f64(1.0 + self.max_clock_drift)
    }
}

/// A holder's request for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Increases with each request of the holder.
    pub request_number: u64,
    /// The most units that may have been in use at any time within the preceding accounting window, and so still
    /// count.
    pub in_use: u32,
    /// The units that the holder needs, estimated from its usage.
    pub demand: u32,
}
