use super::*;
use crate::handoff::packet_size::PACKET_BYTES;
use rstest::rstest;
use std::time::Instant;

fn update(endpoint_count: usize, zone_length: usize) -> SharedUpdate {
    let endpoint = |index| {
        Arc::new(ListedEndpoint {
            server: format!("s-{index}"),
            address: "127.0.0.1:8000".to_string(),
            zone: Some("z".repeat(zone_length)),
            machine_kind: None,
            cell: Some(3),
            health: "SERVING".to_string(),
            weight: Some(1.0),
            started_at_ms: Some(1_700_000_000_000),
        })
    };
    SharedUpdate {
        position: ListPosition {
            generation: 1,
            version: 41,
        },
        previous_version: None,
        endpoints: (0..endpoint_count).map(endpoint).collect(),
    }
}

#[rstest]
#[case::empty(0, 1, 1)]
#[case::one_part(100, 10, 1)]
#[case::largest_fleet(3_200, 20, 21)]
#[case::long_texts(20, 20_000, 10)]
fn a_list_is_put_together_from_its_parts(
    #[case] endpoint_count: usize,
    #[case] zone_length: usize,
    #[case] part_count: usize,
) {
    let update = update(endpoint_count, zone_length);
    let confirmed_at = MachineTime::from(Instant::now());
    let parts = split(update.clone(), confirmed_at).unwrap();
    assert_eq!(parts.len(), part_count);
    let mut assembler = ListAssembler::default();
    let mut lists = Vec::new();
    for part in parts {
        assert!(serde_json::to_vec(&part).unwrap().len() < 2 * PACKET_BYTES);
        lists.extend(assembler.add(part));
    }
    let expected = ReceivedList {
        update,
        confirmed_at,
    };
    assert_eq!(lists, [expected]);
}

/// A list whose last parts were never sent is followed by another one.
#[test]
fn a_list_that_was_cut_short_is_dropped() {
    let confirmed_at = MachineTime::from(Instant::now());
    let parts = split(update(1_000, 10), confirmed_at).unwrap();
    let mut assembler = ListAssembler::default();
    assert_eq!(assembler.add(parts[0].clone()), None);
    assert_eq!(assembler.add(parts[2].clone()), None, "part 1 is missing");
    let last = parts.len() - 1;
    assert_eq!(assembler.add(parts[last].clone()), None);
    let lists: Vec<_> = parts
        .into_iter()
        .filter_map(|part| assembler.add(part))
        .collect();
    assert_eq!(lists.len(), 1);
    assert_eq!(lists[0].update.endpoints.len(), 1_000);
}

#[test]
fn a_list_of_too_many_parts_is_not_sent() {
    let endpoint_count = 2 * (MAX_PARTS as usize + 1);
    let update = update(endpoint_count, PACKET_BYTES);
    assert_eq!(split(update, MachineTime::from(Instant::now())), None);
}
