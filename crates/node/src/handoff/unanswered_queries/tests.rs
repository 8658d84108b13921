use super::*;

#[test]
fn the_number_of_unanswered_queries_is_limited_until_answers_arrive() {
    let mut queries = UnansweredQueries::default();
    for inquirer in 0..MAX_UNANSWERED as u64 {
        let number = queries.next_number(inquirer).unwrap();
        queries.record_sent(number, inquirer);
        assert_eq!(queries.next_number(inquirer), None, "one at a time");
    }
    let late_inquirer = MAX_UNANSWERED as u64;
    assert_eq!(queries.next_number(late_inquirer), None);
    assert_eq!(queries.record_answer(2), Some(1));
    assert_eq!(queries.record_answer(2), None);
    assert!(queries.next_number(late_inquirer).is_some());
    queries.clear();
    assert!(queries.next_number(0).is_some());
}
