use super::*;

fn spend_all(budget: &mut MigrationBudget) -> usize {
    let mut count = 0;
    while budget.spend() {
        count += 1;
    }
    count
}

#[test]
fn a_fraction_of_the_connections_may_be_migrated_each_second() {
    let mut budget = MigrationBudget::default();
    budget.refill(100.0);
    assert_eq!(spend_all(&mut budget), 15);
}

#[test]
fn saved_migrations_are_bounded() {
    let mut budget = MigrationBudget::default();
    for _ in 0..10 {
        budget.refill(100.0);
    }
    assert_eq!(spend_all(&mut budget), 30);
}

#[test]
fn a_node_with_few_connections_saves_up_one_migration() {
    let mut budget = MigrationBudget::default();
    for _ in 0..10 {
        budget.refill(1.0);
    }
    assert_eq!(spend_all(&mut budget), 1);
}

#[test]
fn four_inherited_connections_bring_one_migration() {
    let mut budget = MigrationBudget::default();
    for _ in 0..3 {
        budget.credit_inherited();
    }
    assert!(!budget.spend());
    budget.credit_inherited();
    assert!(budget.spend());
}

#[test]
fn an_allowance_does_not_add_to_what_is_saved() {
    let mut budget = MigrationBudget::default();
    budget.allow_at_least(3.0);
    budget.allow_at_least(2.0);
    assert_eq!(spend_all(&mut budget), 3);
}
