use super::*;

#[test]
fn a_single_timer_is_set_again_only_after_it_has_fired() {
    let mut timer = SingleTimer::new(Timer::Queue);
    let expected = Action::SetTimer {
        after: QUEUE_INTERVAL,
        timer: Timer::Queue,
    };
    assert_eq!(timer.set_after(QUEUE_INTERVAL), Some(expected.clone()));
    assert_eq!(timer.set_after(QUEUE_INTERVAL), None);
    timer.on_fired();
    assert_eq!(timer.set_after(QUEUE_INTERVAL), Some(expected));
}
