//! Mean load of a connection, over all and for each class, from observed connections.

/// What a sum is multiplied with when a new observation is added, so that the mean follows the day.
const RETAINED_PER_OBSERVATION: f64 = 0.995;
/// Mean load before anything was observed.
const DEFAULT_LOAD: f64 = 1.0;
/// Connections that a node may hold on each server when it cannot tell yet.
pub(crate) const DEFAULT_CONNECTIONS_PER_SERVER: f64 = 5.0;

#[derive(Clone, Copy, Default)]
struct LoadSamples {
    sum: f64,
    count: f64,
}

impl LoadSamples {
    fn mean(self) -> Option<f64> {
        (self.count > 0.0).then(|| self.sum / self.count)
    }
}

/// Samples by the class's position in the settings. Loads are in units of work a second.
pub(crate) struct LoadEstimates {
    classes: Vec<LoadSamples>,
}

impl LoadEstimates {
    pub(crate) fn new(class_count: usize) -> LoadEstimates {
        LoadEstimates {
            classes: vec![LoadSamples::default(); class_count],
        }
    }

    pub(crate) fn record(&mut self, class: usize, load: f64) {
        if let Some(samples) = self.classes.get_mut(class) {
            samples.sum = samples.sum * RETAINED_PER_OBSERVATION + load;
            samples.count = samples.count * RETAINED_PER_OBSERVATION + 1.0;
        }
    }

    /// Mean load of any connection.
    pub(crate) fn mean(&self) -> f64 {
        let add = |total: LoadSamples, samples: &LoadSamples| LoadSamples {
            sum: total.sum + samples.sum,
            count: total.count + samples.count,
        };
        let total = self.classes.iter().fold(LoadSamples::default(), add);
        total.mean().unwrap_or(DEFAULT_LOAD)
    }

    /// Mean load of the class's connections, if any was observed.
    pub(crate) fn class_mean(&self, class: usize) -> Option<f64> {
        self.classes.get(class).copied()?.mean()
    }

    /// The settings have changed: `previous_positions` has each class's position before, if it was there.
    pub(crate) fn rearrange(&mut self, previous_positions: &[Option<usize>]) {
        let samples_at =
            |position: &Option<usize>| position.and_then(|at| self.classes.get(at)).copied();
        self.classes = previous_positions
            .iter()
            .map(|position| samples_at(position).unwrap_or_default())
            .collect();
    }
}

#[cfg(test)]
mod tests;
