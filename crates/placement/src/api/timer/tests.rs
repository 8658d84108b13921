use super::*;

#[test]
fn each_timer_has_its_protocol_number() {
    let handles = Timer::ALL.map(Timer::handle);
    assert_eq!(handles, [1, 2, 3, 4]);
    assert_eq!(handles.map(Timer::from_handle), Timer::ALL.map(Some));
    assert_eq!([0, 5].map(Timer::from_handle), [None, None]);
}
