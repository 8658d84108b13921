//! Mean load of a connection, overall and per class, from observed connections.

/// Factor applied to the sums before each new observation, so that the mean follows changes over the day.
const RETAINED_PER_OBSERVATION: f64 = 0.995;
/// Mean load before any observation.
const DEFAULT_LOAD: f64 = 1.0;
/// Connections that a node is assumed to have on each server while it has too few of its own for an estimate.
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

/// Samples by the index of the class in the settings. Loads are in units of work per second.
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

    /// Reorders the samples after a change of settings. `previous_indices` contains the previous index of each class,
    /// if it had one.
    pub(crate) fn rearrange(&mut self, previous_indices: &[Option<usize>]) {
        let samples_at =
            |index: &Option<usize>| index.and_then(|index| self.classes.get(index)).copied();
        self.classes = previous_indices
            .iter()
            .map(|index| samples_at(index).unwrap_or_default())
            .collect();
    }
}

#[cfg(test)]
mod tests;
