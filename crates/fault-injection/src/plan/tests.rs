use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn a_seed_always_draws_the_same_plan(seed in any::<u64>(), rate in 1.0..200.0f64) {
        let text = format!("about = \"a\"\nnodes = 3\ntranscribers = 4\nseconds = 4.0\n[clients]\nrate = {rate:.3}\n");
        let scenario = Scenario::parse(&text).unwrap();
        let (one, other) = (Plan::draw(&scenario, seed), Plan::draw(&scenario, seed));
        prop_assert_eq!(one.digest(), other.digest());
        prop_assert!(one.sessions.windows(2).all(|pair| pair[0].at_s <= pair[1].at_s));
        prop_assert_ne!(one.digest(), Plan::draw(&scenario, seed ^ 1).digest());
    }
}
