use super::*;
use proptest::prelude::*;

fn identity(n: u16, id: u64, born_ms: u64) -> Identity {
    let at = SocketAddr::from(([127, 0, 0, 1], 7000 + n));
    let (zone, region, build) = ("a".into(), String::new(), "0.1".into());
    Identity {
        name: format!("n{n}"),
        incarnation: id,
        started_at_ms: born_ms,
        generation: 0,
        address: at,
        zone,
        region,
        build,
        settings_hash: 0,
    }
}

fn member(n: u16, id: u64, born_ms: u64, fleet: u32) -> Membership {
    let seeds = (0..3)
        .map(|n| (format!("n{n}"), identity(n, 0, 0).address))
        .collect();
    Membership::new(identity(n, id, born_ms), fleet, 3, id, seeds)
}

/// Time for all of them; what `lost` names does not get through, from the first to the second.
fn pass(
    all: &mut [Membership],
    from: Duration,
    to: Duration,
    lost: impl Fn(usize, usize) -> bool,
) -> Vec<(usize, MembershipOutput)> {
    let (mut now, mut news) = (from, Vec::new());
    while now < to {
        now += Duration::from_millis(10);
        for n in 0..all.len() {
            all[n].on_deadline(now);
            while let Some(out) = all[n].next_output() {
                let MembershipOutput::Datagram(at, bytes) = out else {
                    news.push((n, out));
                    continue;
                };
                let to: Vec<usize> = (0..all.len())
                    .filter(|to| all[*to].local_identity().address == at && *to != n)
                    .collect();
                to.into_iter()
                    .filter(|to| !lost(n, *to))
                    .for_each(|to| all[to].on_datagram(now, &bytes));
            }
        }
    }
    news
}

const S: fn(u64) -> Duration = Duration::from_secs;

#[test]
fn a_death_is_known_and_one_that_only_slept_comes_back_under_its_id() {
    let mut all: Vec<Membership> = (0..3)
        .map(|n| member(n, 100 + u64::from(n), 1, 5))
        .collect();
    pass(&mut all, S(0), S(3), |_, _| false);
    assert!(all.iter().all(|one| one.alive().count() == 2));
    // The last one is cut off both ways for long enough to be taken for dead.
    let news = pass(&mut all, S(3), S(12), |from, to| from == 2 || to == 2);
    assert!(news
        .iter()
        .any(|(n, out)| *n == 0
            && matches!(out, MembershipOutput::Down(who) if who.incarnation == 102)));
    let news = pass(&mut all, S(12), S(20), |_, _| false);
    assert!(
        news.iter()
            .any(|(n, out)| *n == 2 && matches!(out, MembershipOutput::Back(1))),
        "{news:?}"
    );
    assert!(all[0]
        .alive()
        .any(|who| who.incarnation == 102 && who.generation == 1));
}

/// The later life of a name is known by all, and the earlier one gives way instead of coming back each time it is refused.
#[test]
fn of_two_lives_of_one_name_the_earlier_gives_way() {
    let mut all: Vec<Membership> = (0..3)
        .map(|n| member(n, 100 + u64::from(n), 1, 5))
        .collect();
    pass(&mut all, S(0), S(3), |_, _| false);
    let other = Identity {
        address: identity(7, 0, 0).address,
        ..identity(1, 300, 2)
    };
    let seeds = vec![("n0".to_string(), identity(0, 0, 0).address)];
    all.push(Membership::new(other, 5, 3, 300, seeds));
    let news = pass(&mut all, S(3), S(20), |_, _| false);
    let of_earlier = |out: &MembershipOutput| {
        news.iter()
            .filter(|(n, seen)| *n == 1 && seen == out)
            .count()
    };
    assert_eq!(of_earlier(&MembershipOutput::Replaced), 1, "{news:?}");
    assert!(
        all[1].local_identity().generation <= 1 + MOST_BACKS,
        "{} returns",
        all[1].local_identity().generation
    );
    assert!(
        all[0].alive().any(|who| who.incarnation == 300)
            && all[0].alive().all(|who| who.incarnation != 101)
    );
}

#[test]
fn one_that_leaves_is_known_at_once_and_stays_away() {
    let mut all: Vec<Membership> = (0..3)
        .map(|n| member(n, 100 + u64::from(n), 1, 5))
        .collect();
    pass(&mut all, S(0), S(3), |_, _| false);
    all[1].leave(S(3));
    pass(&mut all, S(3), S(5), |_, _| false);
    assert!([0, 2].iter().all(|n| all[*n].alive().count() == 1));
}

#[test]
fn of_two_lives_of_one_name_the_later_stays() {
    let mut all = vec![
        member(0, 100, 1, 5),
        member(1, 101, 1, 5),
        member(1, 201, 2, 5),
    ];
    let news = pass(&mut all, S(0), S(8), |_, _| false);
    let alive: Vec<u64> = all[0].alive().map(|who| who.incarnation).collect();
    assert_eq!(alive, vec![201]);
    assert!(!news
        .iter()
        .any(|(n, out)| *n == 2 && matches!(out, MembershipOutput::Replaced)));
}

/// Suspicions come at this loss, and each is refuted in time.
#[test]
fn nobody_is_taken_for_dead_because_datagrams_get_lost() {
    let mut all: Vec<Membership> = (0..10)
        .map(|n| member(n, 100 + u64::from(n), 1, 5))
        .collect();
    pass(&mut all, S(0), S(5), |_, _| false);
    let draw = std::cell::RefCell::new(Pcg64Mcg::new(7));
    let lost = |_, _| rand::Rng::random::<f64>(&mut *draw.borrow_mut()) < 0.3;
    let news = pass(&mut all, S(5), S(65), lost);
    assert_eq!(
        news.iter()
            .filter(|(_, out)| matches!(out, MembershipOutput::Down(_)))
            .count(),
        0
    );
}

#[test]
fn another_fleet_is_counted_and_not_heard() {
    let mut all = vec![member(0, 100, 1, 5), member(1, 101, 1, 6)];
    pass(&mut all, S(0), S(4), |_, _| false);
    assert!(all
        .iter()
        .all(|one| one.alive().count() == 0 && one.rejected.foreign > 0));
}

proptest! {
    #[test]
    fn no_datagram_panics_or_adds_a_member(mut bytes in proptest::collection::vec(any::<u8>(), 0..1500), ours in any::<bool>()) {
        let mut one = member(0, 100, 1, 5);
        if ours && bytes.len() >= HEAD {
            bytes[..HEAD].copy_from_slice(&[b'l', b'c', PROTOCOL_VERSION, 0, 0, 0, 5]);
        }
        one.on_datagram(S(1), &bytes);
        prop_assert!(one.rejected.foreign + one.rejected.version + one.rejected.unreadable + one.rejected.stale <= 1);
    }
}
