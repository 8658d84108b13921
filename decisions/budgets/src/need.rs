//! What a node says that it needs, from what it used.

/// A part more than was used, so that traffic can grow between two requests.
const HEADROOM: u32 = 4;

/// What was used of a budget since the last request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Use {
    /// The most in any window.
    pub most: u32,
    /// Something was turned away for lack of a slice.
    pub turned_away: bool,
}

/// Follows one budget at one node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Need {
    want: u32,
}

impl Need {
    /// A request is about to be made; what it says. A want that was met falls by an eighth at a time at the most: a pause
    /// of a renewal is not an end.
    pub fn follow(&mut self, seen: Use) -> u32 {
        let wanted = if seen.turned_away {
            // What was turned away is not counted: clients that wait ask again and again. Doubling finds the need.
            seen.most.saturating_mul(2).saturating_add(1)
        } else {
            seen.most.saturating_add(seen.most.div_ceil(HEADROOM))
        };
        self.want = wanted.max(self.want - self.want.div_ceil(8));
        self.want
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    #[rstest]
    #[case::idle(&[(0, false)], 0)]
    #[case::nothing_held_and_something_came(&[(0, true)], 1)]
    #[case::used_and_a_quarter(&[(8, false)], 10)]
    #[case::more_came_than_was_let(&[(8, true)], 17)]
    #[case::falls_slowly(&[(8, true), (0, false)], 14)]
    #[case::falls_to_nothing(&[(1, false), (0, false), (0, false)], 0)]
    #[case::grows_at_once(&[(0, false), (40, false)], 50)]
    #[case::no_overflow(&[(u32::MAX, true)], u32::MAX)]
    fn a_want_follows_the_use(#[case] seen: &[(u32, bool)], #[case] want: u32) {
        let mut need = Need::default();
        let wants = seen.iter().map(|(most, away)| need.follow(Use { most: *most, turned_away: *away }));
        assert_eq!(wants.last(), Some(want));
    }
}
