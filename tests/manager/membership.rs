//! Which control nodes should vote.

use std::time::Duration;

use egretpin::{
    core::types::{NodeId, Now},
    manager::{
        identity::node_id,
        membership::{Members, VoterStatus},
    },
};

const NOW: Now = Duration::from_secs(30);
/// Long enough for a node without contact to count as dead.
const LONG: Duration = Duration::from_secs(3);
/// The time that the settings promise between two losses of control nodes.
const PROMISE: Duration = Duration::from_secs(4);
/// The promises that sites are run with.
const PROMISES: [Duration; 3] = [
    Duration::from_secs(2),
    Duration::from_secs(4),
    Duration::from_secs(6),
];
/// Time between two looks at the voters.
const LOOK: Duration = Duration::from_millis(200);

/// The first node at a host, with folder number 0.
fn node(host: u8) -> NodeId {
    node_id([10, 0, 0, host].into(), 0)
}

fn nodes<const N: usize>(hosts: [u8; N]) -> [NodeId; N] {
    hosts.map(node)
}

/// Members at hosts 1, 2, 3 and so on, one for each data centre in `centres`, all heard from at `at`.
fn heard(at: Now, centres: &[&str]) -> Members {
    let mut members = Members::default();
    for (host, centre) in (1..).zip(centres) {
        members.record_contact(at, node(host), (*centre).into(), false);
    }
    members
}

fn voting<'a>(voters: &'a [NodeId], silent: &'a [NodeId]) -> VoterStatus<'a> {
    VoterStatus {
        leader: node(1),
        voters,
        silent,
        target: 3,
        joining: None,
        repair_time: PROMISE,
    }
}

#[test]
fn a_silent_voter_is_replaced_by_an_alive_node() {
    let mut members = heard(NOW, &["a", "b", "c", "d"]);
    let wanted = members.next_change(NOW, &voting(&nodes([1, 2, 3]), &nodes([3])));
    assert_eq!(wanted, Some(nodes([1, 2, 3, 4]).to_vec()));
    let wanted = members.next_change(NOW, &voting(&nodes([1, 2, 3, 4]), &nodes([3])));
    assert_eq!(wanted, Some(nodes([1, 2, 4]).to_vec()));
    assert_eq!(
        members.next_change(NOW, &voting(&nodes([1, 2, 4]), &nodes([]))),
        None
    );
}

#[test]
fn a_silent_voter_stays_while_no_other_node_is_alive() {
    let mut members = heard(NOW, &["a", "b", "c"]);
    members.record_mention(NOW, node(4), "d".into());
    assert_eq!(
        members.next_change(NOW, &voting(&nodes([1, 2, 3]), &nodes([3]))),
        None
    );
    let mut members = heard(NOW, &["a", "b", "c", "d"]);
    let later = NOW + LONG;
    assert_eq!(
        members.next_change(later, &voting(&nodes([1, 2, 3]), &nodes([3]))),
        None
    );
}

#[test]
fn a_voter_that_is_about_to_end_is_replaced_while_it_still_votes() {
    let mut members = heard(NOW, &["a", "b", "c", "d"]);
    members.record_contact(NOW, node(2), "b".into(), true);
    assert!(members.has_candidate(NOW, &nodes([1, 2, 3])));
    let wanted = members.next_change(NOW, &voting(&nodes([1, 2, 3]), &nodes([])));
    assert_eq!(wanted, Some(nodes([1, 2, 3, 4]).to_vec()));
    let wanted = members.next_change(NOW, &voting(&nodes([1, 2, 3, 4]), &nodes([])));
    assert_eq!(wanted, Some(nodes([1, 3, 4]).to_vec()));
    members.record_contact(NOW, node(2), "b".into(), false);
    assert_eq!(
        members.next_change(NOW, &voting(&nodes([1, 2, 3]), &nodes([]))),
        None
    );
}

#[test]
fn a_node_that_is_about_to_end_takes_no_vote() {
    let mut members = heard(NOW, &["a", "b", "c", "d"]);
    members.record_contact(NOW, node(4), "d".into(), true);
    assert_eq!(
        members.next_change(NOW, &voting(&nodes([1, 2, 3]), &nodes([3]))),
        None
    );
}

#[test]
fn a_silent_voter_goes_before_one_that_is_about_to_end() {
    let mut members = heard(NOW, &["a", "b", "c", "d"]);
    members.record_contact(NOW, node(2), "b".into(), true);
    let wanted = members.next_change(NOW, &voting(&nodes([1, 2, 3, 4]), &nodes([3])));
    assert_eq!(wanted, Some(nodes([1, 2, 4]).to_vec()));
}

#[test]
fn a_node_that_failed_to_join_is_the_last_choice_for_a_while() {
    let mut members = heard(NOW, &["a", "b", "c", "d", "e"]);
    let wanted = members.next_change(NOW, &voting(&nodes([1, 2, 3]), &nodes([3])));
    assert_eq!(wanted, Some(nodes([1, 2, 3, 4]).to_vec()));
    members.change_failed(NOW, node(4));
    let wanted = members.next_change(NOW, &voting(&nodes([1, 2, 3]), &nodes([3])));
    assert_eq!(wanted, Some(nodes([1, 2, 3, 5]).to_vec()));
    // It is still chosen if there is no other.
    members.record_contact(NOW, node(5), "e".into(), true);
    let wanted = members.next_change(NOW, &voting(&nodes([1, 2, 3]), &nodes([3])));
    assert_eq!(wanted, Some(nodes([1, 2, 3, 4]).to_vec()));
}

#[test]
fn a_list_that_is_too_long_is_shortened_once_all_voters_are_alive() {
    let mut members = heard(NOW, &["a", "b", "c", "b"]);
    let wanted = members.next_change(NOW, &voting(&nodes([1, 2, 3, 4]), &nodes([])));
    assert_eq!(
        wanted,
        Some(nodes([1, 2, 3]).to_vec()),
        "one of the two in b goes"
    );
    let mut members = heard(NOW, &["a", "b", "c"]);
    members.record_mention(NOW, node(4), "b".into());
    let wanted = members.next_change(NOW, &voting(&nodes([1, 2, 3, 4]), &nodes([])));
    assert_eq!(wanted, None, "one of the voters may be dead");
}

#[test]
fn a_recently_heard_node_is_preferred_to_one_that_may_be_lost_too() {
    let mut members = heard(NOW, &["a", "b", "c", "d", "a"]);
    let later = NOW + Duration::from_millis(1500);
    for host in [1, 2, 5] {
        members.record_contact(later, node(host), "a".into(), false);
    }
    let wanted = members.next_change(later, &voting(&nodes([1, 2, 3]), &nodes([3])));
    assert_eq!(wanted, Some(nodes([1, 2, 3, 5]).to_vec()));
}

#[test]
fn voters_are_spread_over_the_data_centres_again() {
    let mut members = heard(NOW, &["a", "b", "c", "b"]);
    let wanted = members.next_change(NOW, &voting(&nodes([1, 2, 4]), &[]));
    assert_eq!(wanted, Some(nodes([1, 2, 3, 4]).to_vec()));
    let wanted = members.next_change(NOW, &voting(&nodes([1, 2, 3, 4]), &[]));
    assert_eq!(wanted, Some(nodes([1, 2, 3]).to_vec()));
    assert_eq!(
        members.next_change(NOW, &voting(&nodes([1, 2, 3]), &[])),
        None
    );
}

#[test]
fn a_leader_that_ends_hands_over_to_a_voter_that_goes_on() {
    let mut members = heard(NOW, &["a", "b", "c"]);
    members.record_contact(NOW, node(2), "b".into(), true);
    let successor = members.successor(NOW, &voting(&nodes([1, 2, 3]), &[]));
    assert_eq!(successor, Some(node(3)));
    let successor = members.successor(NOW, &voting(&nodes([1, 2, 3]), &nodes([3])));
    assert_eq!(successor, None);
}

#[test]
fn a_node_that_was_only_mentioned_is_not_announced_and_is_forgotten() {
    let mut members = heard(NOW, &["a"]);
    members.record_mention(NOW, node(2), "b".into());
    assert_eq!(members.announced(NOW), [(node(1), "a".into())]);
    let later = NOW + Duration::from_secs(60);
    members.record_contact(later, node(1), "a".into(), false);
    members.forget(later);
    assert!(
        members.record_mention(later, node(2), "b".into()),
        "it was forgotten"
    );
}

#[test]
fn a_node_whose_disk_was_lost_is_replaced_by_its_successor() {
    let mut members = heard(NOW, &["a", "b", "c"]);
    let later = NOW + Duration::from_secs(1);
    let successor = node_id([10, 0, 0, 2].into(), 77);
    members.record_contact(later, successor, "b".into(), false);
    let wanted = members.next_change(later, &voting(&nodes([1, 2, 3]), &[]));
    let wanted = wanted.unwrap();
    assert!(wanted.contains(&successor), "{wanted:?}");
    let wanted = members.next_change(later, &voting(&wanted, &[]));
    let wanted = wanted.unwrap();
    assert!(!wanted.contains(&node(2)), "{wanted:?}");
    assert_eq!(wanted.len(), 3);
}

/// An entry that the leader's log has dropped, and the end of that log.
const LOG: (u64, u64) = (8192, 12_000);

/// Members of whom the first three vote and the third is lost. Each of the others is in a data centre
/// of its own, and its log ends where `ends` says.
fn lost_third(ends: &[Option<u64>]) -> Members {
    let centres = ["a", "b", "c", "d", "e", "f"];
    let mut members = heard(NOW, &centres[..3 + ends.len()]);
    members.record_log_start(NOW - LONG, LOG.0);
    for (host, last) in (4..).zip(ends) {
        if let Some(last) = last {
            // So long ago that nobody feeds it, if it needs that.
            members.record_progress(NOW - LONG, node(host), *last, 0);
        }
    }
    members
}

/// The host that is added when the third of three voters is lost.
fn replacement(members: &mut Members, now: Now) -> Option<u8> {
    replacement_for(members, now, None, PROMISE)
}

/// The same while the node at the host `joining` is being added, under a promise.
fn replacement_for(
    members: &mut Members,
    now: Now,
    joining: Option<u8>,
    repair_time: Duration,
) -> Option<u8> {
    let (voters, silent) = (nodes([1, 2, 3]), nodes([3]));
    let status = VoterStatus {
        joining: joining.map(node),
        repair_time,
        ..voting(&voters, &silent)
    };
    let changed = members.next_change(now, &status)?;
    let added = changed.iter().find(|v| !voters.contains(v));
    (4..7).find(|host| added == Some(&node(*host)))
}

/// Records that nodes were heard from in data centres of their own.
fn hear(members: &mut Members, now: Now, hosts: &[u8]) {
    for host in hosts {
        members.record_contact(now, node(*host), host.to_string().into(), false);
    }
}

/// Guards against an empty node that replaced a lost voter because its address was the lower one: a
/// voter without a disk too many, and the quorum was lost with the next loss.
#[test]
fn a_node_that_needs_a_snapshot_is_not_added_while_another_follows_the_log() {
    let (empty, follows) = (Some(0), Some(LOG.1));
    assert_eq!(
        replacement(&mut lost_third(&[empty, follows]), NOW),
        Some(5)
    );
    assert_eq!(
        replacement(&mut lost_third(&[follows, empty]), NOW),
        Some(4)
    );
    let behind = Some(LOG.0 - 1);
    assert_eq!(
        replacement(&mut lost_third(&[behind, follows]), NOW),
        Some(5)
    );
    // A node of an earlier release doesn't say how far it is.
    assert_eq!(replacement(&mut lost_third(&[empty, None]), NOW), Some(5));
    assert_eq!(replacement(&mut lost_third(&[None, follows]), NOW), Some(5));
}

/// Guards against a choice among learners that passes over the one that lacks least.
#[test]
fn of_equal_learners_the_most_advanced_is_added() {
    let (empty, far, near) = (Some(0), Some(LOG.0 + 1), Some(LOG.1));
    assert_eq!(
        replacement(&mut lost_third(&[empty, far, near]), NOW),
        Some(6)
    );
    assert_eq!(
        replacement(&mut lost_third(&[near, far, empty]), NOW),
        Some(4)
    );
    assert_eq!(
        replacement(&mut lost_third(&[far, near, empty]), NOW),
        Some(5)
    );
    assert_eq!(replacement(&mut lost_third(&[far, far]), NOW), Some(4));
}

/// Guards against a ranking that adds an empty node for the sake of the spread or of a late view.
#[test]
fn the_log_goes_before_the_spread_and_the_last_contact() {
    let mut members = lost_third(&[Some(0), Some(LOG.1)]);
    members.record_contact(NOW, node(5), "a".into(), false);
    assert_eq!(replacement(&mut members, NOW), Some(5));
    let later = NOW + Duration::from_millis(1500);
    members.record_contact(later, node(4), "d".into(), false);
    assert_eq!(replacement(&mut members, later), Some(5));
    // One that couldn't be added comes last whatever it lacks.
    members.change_failed(later, node(5));
    assert_eq!(replacement(&mut members, later), Some(4));
}

/// Guards against taking all learners for lacking a snapshot just after the leader dropped entries:
/// their views are up to a second old.
#[test]
fn views_from_before_the_log_was_cut_do_not_count_against_a_node() {
    let (empty, follows) = (Some(0), Some(LOG.1));
    let mut members = lost_third(&[empty, follows]);
    members.record_log_start(NOW, LOG.1 + 200);
    assert_eq!(replacement(&mut members, NOW), Some(5));
    let later = NOW + Duration::from_millis(1200);
    for host in [4, 5] {
        members.record_contact(later, node(host), "d".into(), false);
    }
    members.record_progress(later, node(4), LOG.1 + 300, 0);
    assert_eq!(replacement(&mut members, later), Some(4));
}

/// Guards against a join by a busy leader, which takes many times what feeding a learner does.
#[test]
fn a_node_that_needs_a_snapshot_is_fed_before_it_is_added() {
    let mut members = lost_third(&[Some(0)]);
    for second in 0..3 {
        let now = NOW + Duration::from_secs(1) * second;
        hear(&mut members, now, &[1, 2, 4]);
        members.record_progress(now, node(4), 0, 1000 + u64::from(second));
        assert_eq!(replacement(&mut members, now), None);
    }
    let now = NOW + Duration::from_secs(3);
    hear(&mut members, now, &[1, 2, 4]);
    members.record_progress(now, node(4), LOG.1, 0);
    assert_eq!(replacement(&mut members, now), Some(4));
}

/// Guards against a lost voter that is never replaced because its successor waits for a feed.
#[test]
fn a_node_that_is_not_fed_in_time_is_added_all_the_same() {
    let second = Duration::from_secs(1);
    for promise in PROMISES {
        let mut members = lost_third(&[Some(0)]);
        members.record_progress(NOW, node(4), 0, 1);
        assert_eq!(replacement_for(&mut members, NOW, None, promise), None);
        let later = NOW + second * 3;
        hear(&mut members, later, &[1, 2, 4]);
        members.record_progress(later, node(4), 0, 1);
        assert_eq!(
            replacement_for(&mut members, later, None, promise),
            Some(4),
            "it makes no progress"
        );
        let mut members = lost_third(&[Some(0)]);
        let mut now = NOW;
        let mut received = 1;
        members.record_progress(now, node(4), 0, received);
        while replacement_for(&mut members, now, None, promise).is_none() {
            assert!(now < NOW + promise, "it makes progress, but too slowly");
            now += second;
            received += 1;
            hear(&mut members, now, &[1, 2, 4]);
            members.record_progress(now, node(4), 0, received);
        }
    }
}

/// Guards against a slow join that keeps a node which lacks nothing from replacing a lost voter.
#[test]
fn a_join_that_needs_a_snapshot_gives_way_once() {
    for (empty, better) in [(4, 5), (5, 4)] {
        let mut members = lost_third(&[Some(0), Some(0)]);
        members.change_failed(NOW - PROMISE * 4, node(empty));
        let looks = |members: &mut Members, now| {
            hear(members, now, &[1, 2, 4, 5]);
            replacement_for(members, now, Some(empty), PROMISE)
        };
        assert_eq!(looks(&mut members, NOW), None, "both need a snapshot");
        members.record_progress(NOW, node(better), LOG.1, 0);
        assert_eq!(looks(&mut members, NOW), Some(better));
        // The other can't be added either: the choice doesn't turn between the two.
        members.change_failed(NOW, node(better));
        assert_eq!(replacement(&mut members, NOW), Some(empty));
        for look in 0..100 {
            assert_eq!(looks(&mut members, NOW + LOOK * look), None);
        }
    }
}

/// Guards against a join that gives way to a node which is no better.
#[test]
fn a_join_of_a_node_that_follows_the_log_goes_on() {
    let mut members = lost_third(&[Some(LOG.0), Some(LOG.1)]);
    assert_eq!(replacement_for(&mut members, NOW, Some(4), PROMISE), None);
    members.record_contact(NOW, node(4), "d".into(), true);
    assert_eq!(
        replacement_for(&mut members, NOW, Some(4), PROMISE),
        Some(5),
        "the joining node is about to end"
    );
}

/// Guards against a limit of repair that isn't derived from the time promised between two losses: a
/// join that hung held up the change that would have replaced a lost voter.
#[test]
fn a_join_that_hangs_gives_way_within_the_promised_time() {
    for promise in PROMISES {
        // The loss is noticed by the voter's silence.
        let silence = Duration::from_secs(1).max(promise * 3 / 8);
        let mut now = NOW + silence + LOOK;
        let mut members = lost_third(&[Some(LOG.1), Some(LOG.1)]);
        hear(&mut members, now, &[1, 2, 4, 5]);
        let first = replacement_for(&mut members, now, None, promise);
        assert_eq!(first, Some(4));
        while replacement_for(&mut members, now, first, promise) != Some(5) {
            now += LOOK;
            hear(&mut members, now, &[1, 2, 4, 5]);
            assert!(now + LOOK < NOW + promise, "{promise:?}");
        }
        // It doesn't turn back to the first.
        for look in 0..50 {
            let now = now + LOOK * look;
            hear(&mut members, now, &[1, 2, 4, 5]);
            assert_eq!(replacement_for(&mut members, now, Some(5), promise), None);
        }
    }
}

/// Guards against a limit that makes a slow join impossible: its transfer would begin anew each time.
#[test]
fn a_slow_join_goes_on_while_no_other_node_could_be_added() {
    for promise in PROMISES {
        let mut members = lost_third(&[Some(0), Some(0)]);
        assert_eq!(replacement_for(&mut members, NOW, None, promise), Some(4));
        let mut now = NOW;
        while now < NOW + promise * 20 {
            now += LOOK;
            hear(&mut members, now, &[1, 2, 4, 5]);
            assert_eq!(replacement_for(&mut members, now, Some(4), promise), None);
        }
    }
}

/// Guards against a node that failed to join for a moment and isn't chosen before the next loss.
#[test]
fn a_node_that_failed_to_join_is_chosen_again_within_the_promised_time() {
    for promise in PROMISES {
        let mut members = lost_third(&[Some(0), Some(LOG.1)]);
        assert_eq!(replacement_for(&mut members, NOW, None, promise), Some(5));
        members.change_failed(NOW, node(5));
        assert_eq!(replacement_for(&mut members, NOW, None, promise), Some(4));
        let later = NOW + promise * 3 / 4;
        hear(&mut members, later, &[1, 2, 4, 5]);
        assert_eq!(
            replacement_for(&mut members, later, None, promise),
            Some(5),
            "{promise:?}"
        );
    }
}

/// Guards against a leader that hands over to a voter which needs a snapshot: it can't take over.
#[test]
fn a_leader_that_ends_hands_over_to_the_most_advanced_voter() {
    for (behind, ahead) in [(2, 3), (3, 2)] {
        let mut members = heard(NOW, &["a", "b", "c"]);
        members.record_progress(NOW, node(ahead), LOG.1, 0);
        members.record_progress(NOW, node(behind), 0, 0);
        let later = NOW + LOOK;
        hear(&mut members, later, &[behind]);
        let successor = members.successor(later, &voting(&nodes([1, 2, 3]), &[]));
        assert_eq!(successor, Some(node(ahead)));
    }
}

/// Looks at the voters for a while, hearing some of them once a second.
fn look_for(members: &mut Members, from: Now, time: Duration, heard: &[u8]) -> Now {
    let mut now = from;
    while now < from + time {
        if (now - from).as_millis().is_multiple_of(1000) {
            hear(members, now, heard);
        }
        members.record_touch(now, node(1), &nodes([1, 2, 3]));
        now += LOOK;
    }
    now
}

/// Guards against a node that was cut off, or stood still, and takes its own silence for that of the
/// others.
#[test]
fn silence_before_an_election_counts_only_while_the_node_was_in_touch() {
    let second = Duration::from_secs(1);
    let limit = second * 3 / 2;
    let unheard = |members: &Members, now: Now| members.is_unheard(now, node(3), limit);
    let start = || {
        let mut members = heard(NOW, &["a", "b", "c"]);
        let now = look_for(&mut members, NOW, second * 4, &[1, 2, 3]);
        (members, now)
    };
    // In touch with the other: the time counts from when the third's view was due.
    let (mut members, now) = start();
    let now = look_for(&mut members, now, limit - LOOK, &[1, 2]);
    assert!(!unheard(&members, now));
    let now = look_for(&mut members, now, LOOK * 2, &[1, 2]);
    assert!(unheard(&members, now));
    // Cut off from both.
    let (mut members, now) = start();
    let now = look_for(&mut members, now, second * 4, &[1]);
    assert!(!unheard(&members, now));
    // The last look without touch was one interval ago.
    let now = look_for(&mut members, now, limit - LOOK * 2, &[1, 2]);
    assert!(!unheard(&members, now));
    let now = look_for(&mut members, now, LOOK, &[1, 2]);
    assert!(unheard(&members, now));
    // Stood still.
    let (mut members, now) = start();
    let now = look_for(&mut members, now + second * 4, LOOK, &[1, 2]);
    assert!(!unheard(&members, now));
}
