use super::*;
use rstest::rstest;

const LEADER: MemberId = 1;

/// A group whose leader is member 1. By default, members are named by their ids and are live, caught up and
/// responsive.
struct Group {
    configuration: GroupConfiguration,
    members: BTreeMap<MemberId, Member>,
    live_members: BTreeMap<MemberId, Member>,
    observations: BTreeMap<MemberId, MemberObservation>,
}

impl Group {
    fn new(voters: &[MemberId], learners: &[MemberId]) -> Group {
        let mut group = Group {
            configuration: GroupConfiguration {
                voters: voters.iter().copied().collect(),
                learners: learners.iter().copied().collect(),
            },
            members: BTreeMap::new(),
            live_members: BTreeMap::new(),
            observations: BTreeMap::new(),
        };
        for id in group.configuration.all().collect::<Vec<_>>() {
            let member = member(id, &format!("n{id}"), "z1");
            group.members.insert(id, member.clone());
            group = group.with_live_member(member);
        }
        group
    }

    fn with_live_member(mut self, member: Member) -> Group {
        let observation = MemberObservation {
            liveness: Liveness::Live,
            is_removal_due: false,
            is_caught_up: true,
            is_responsive: true,
        };
        self.observations.insert(member.id, observation);
        self.live_members.insert(member.id, member);
        self
    }

    fn in_zone(mut self, id: MemberId, zone: &str) -> Group {
        self.members.get_mut(&id).expect("a member").zone = zone.to_owned();
        self
    }

    fn observe(mut self, id: MemberId, change: impl FnOnce(&mut MemberObservation)) -> Group {
        change(self.observations.get_mut(&id).expect("a member"));
        self
    }

    fn with_unreachable(self, id: MemberId) -> Group {
        self.observe(id, |observation| {
            observation.liveness = Liveness::Unreachable;
            observation.is_removal_due = true;
            observation.is_responsive = false;
        })
    }

    fn with_leaving(self, id: MemberId) -> Group {
        self.observe(id, |observation| observation.liveness = Liveness::Leaving)
    }

    fn next_change(&self) -> Option<MembershipChange> {
        let view = MembershipView {
            leader: LEADER,
            configuration: &self.configuration,
            members: &self.members,
            live_members: &self.live_members,
            observations: &self.observations,
        };
        view.next_change()
    }
}

fn member(id: MemberId, name: &str, zone: &str) -> Member {
    Member {
        id,
        name: name.to_owned(),
        zone: zone.to_owned(),
        region: String::new(),
        build: String::new(),
    }
}

#[rstest]
#[case::nothing_is_due(Group::new(&[1, 2, 3], &[]), None)]
#[case::an_unreachable_voter_is_removed(
    Group::new(&[1, 2, 3], &[]).with_unreachable(2),
    Some(MembershipChange::Remove(2))
)]
#[case::an_unreachable_voter_stays_until_its_removal_is_due(
    Group::new(&[1, 2, 3], &[])
        .with_unreachable(2)
        .observe(2, |observation| observation.is_removal_due = false),
    None
)]
#[case::an_unreachable_voter_stays_while_the_others_have_no_majority(
    Group::new(&[1, 2, 3], &[]).with_unreachable(2).observe(3, |observation| observation.is_responsive = false),
    None
)]
#[case::a_new_member_becomes_a_learner(
    Group::new(&[1], &[]).with_live_member(member(7, "n7", "z1")),
    Some(MembershipChange::AddLearner(member(7, "n7", "z1")))
)]
#[case::a_new_incarnation_waits_until_the_old_one_is_removed(
    Group::new(&[1, 2, 3], &[])
        .observe(2, |observation| observation.liveness = Liveness::Unreachable)
        .with_live_member(member(7, "n2", "z1")),
    None
)]
#[case::a_learner_is_promoted_if_there_are_too_few_voters(
    Group::new(&[1], &[2, 3]),
    Some(MembershipChange::Promote(2))
)]
#[case::a_zone_with_fewer_votes_comes_first(
    Group::new(&[1], &[2, 3]).in_zone(3, "z2"),
    Some(MembershipChange::Promote(3))
)]
#[case::a_learner_that_is_behind_is_not_promoted(
    Group::new(&[1], &[2, 3]).observe(2, |observation| observation.is_caught_up = false),
    Some(MembershipChange::Promote(3))
)]
#[case::a_leaving_voter_is_removed(
    Group::new(&[1, 2, 3], &[]).with_leaving(2),
    Some(MembershipChange::Remove(2))
)]
#[case::a_leaving_voter_gives_its_vote_to_another_first(
    Group::new(&[1, 2, 3], &[4]).with_leaving(2),
    Some(MembershipChange::Promote(4))
)]
#[case::a_leaving_leader_is_not_removed(Group::new(&[1], &[]).with_leaving(LEADER), None)]
#[case::a_surplus_voter_is_demoted(
    Group::new(&[1, 2], &[]),
    Some(MembershipChange::Demote(2))
)]
#[case::a_vote_moves_to_a_zone_without_one(
    Group::new(&[1, 2, 3], &[4]).in_zone(4, "z2"),
    Some(MembershipChange::Demote(3))
)]
fn the_next_change_of_a_group(#[case] group: Group, #[case] expected: Option<MembershipChange>) {
    assert_eq!(group.next_change(), expected);
}
