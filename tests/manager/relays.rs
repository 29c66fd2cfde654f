//! Which control node carries an order, and what becomes of orders that none has carried.

use std::{net::SocketAddr, time::Duration};

use egretpin::{
    core::{
        types::{NodeId, Now},
        workload::{
            job::TaskId,
            scheduler::{Order, OrderId, OrderKind, Target},
        },
    },
    manager::relays::Relays,
};

const EXCHANGE: Duration = Duration::from_millis(500);
/// Relays in the east and the west.
const EAST: NodeId = 1;
const WEST: NodeId = 2;

fn relays() -> Relays {
    let mut relays = Relays::default();
    relays.set(vec![(EAST, "east".into()), (WEST, "west".into())]);
    relays
}

fn address(host: u8) -> SocketAddr {
    ([10, 0, 0, host], 80).into()
}

/// A stop at an agent in the west, or a renewal that waits.
fn order(id: OrderId, host: u8, wait: Option<Duration>) -> Order {
    let to = Target {
        agent: format!("a{host}").as_str().into(),
        address: address(host),
        data_centre: "west".into(),
    };
    let what = match wait {
        Some(wait) => OrderKind::Renew {
            to,
            acked: 0,
            until: None,
            wait,
        },
        None => OrderKind::Stop {
            to,
            task: TaskId::parse("0000000000000001.0.0.0").unwrap(),
            attempt: 1,
        },
    };
    Order {
        id,
        term: 1,
        kind: what,
    }
}

/// Gives an order to the relay that is chosen for it; which.
fn carry(relays: &mut Relays, now: Now, order: Order) -> Option<NodeId> {
    let relay = relays.choose(now, 1.0, &order.kind)?;
    relays.carry(now, relay, EXCHANGE, order);
    Some(relay)
}

#[test]
fn what_a_relay_leaves_unanswered_is_lost_with_all_that_it_carries() {
    let (mut relays, now) = (relays(), Duration::from_secs(9));
    assert_eq!(carry(&mut relays, now, order(1, 7, None)), Some(WEST));
    let wait = Some(Duration::from_millis(700));
    assert_eq!(carry(&mut relays, now, order(2, 8, wait)), Some(WEST));
    let batches = relays.take_batches();
    assert_eq!(batches.len(), 1, "one message for both");
    assert!(
        relays.expire(now + EXCHANGE).is_empty(),
        "there is time left"
    );
    let late = now + Duration::from_secs(1);
    assert_eq!(relays.expire(late), [1, 2]);
    assert!(
        !relays.answered(WEST, 1, true),
        "nobody waits for it any more"
    );
    let next = order(3, 7, None);
    assert_eq!(relays.choose(late, 1.0, &next.kind), Some(EAST));
    let later = late + Duration::from_secs(3);
    assert_eq!(relays.choose(later, 1.0, &next.kind), Some(WEST));
}

#[test]
fn a_relay_that_fails_again_and_again_is_left_for_longer() {
    let (mut relays, mut now) = (relays(), Duration::from_secs(9));
    let what = order(1, 7, None).kind;
    let mut left = Vec::new();
    for _ in 0..3 {
        relays.distrust(now, WEST);
        let mut span = Duration::ZERO;
        while relays.choose(now + span, 1.0, &what) != Some(WEST) {
            span += Duration::from_millis(500);
        }
        left.push(span);
        now += span;
    }
    assert!(left.is_sorted() && left[0] < left[2], "{left:?}");
}

#[test]
fn an_agent_that_its_relay_does_not_reach_is_called_from_here_until_it_answers() {
    let (mut relays, now) = (relays(), Duration::from_secs(9));
    carry(&mut relays, now, order(1, 7, None));
    assert!(relays.answered(WEST, 1, false));
    let next = order(2, 7, None);
    assert_eq!(relays.choose(now, 1.0, &next.kind), None);
    let other = order(3, 8, None);
    assert_eq!(relays.choose(now, 1.0, &other.kind), Some(WEST));
    relays.send_here(&next);
    relays.answered_here(2, true);
    assert_eq!(relays.choose(now, 1.0, &next.kind), Some(WEST));
}

#[test]
fn only_the_relay_that_carries_an_order_answers_it_and_only_once() {
    let (mut relays, now) = (relays(), Duration::from_secs(9));
    carry(&mut relays, now, order(1, 7, None));
    assert!(!relays.answered(EAST, 1, true));
    assert!(relays.answered(WEST, 1, true));
    assert!(!relays.answered(WEST, 1, true));
    assert!(relays.expire(now + Duration::from_secs(9)).is_empty());
}

#[test]
fn a_leader_that_begins_waits_for_nothing_that_was_carried_before() {
    let (mut relays, now) = (relays(), Duration::from_secs(9));
    carry(&mut relays, now, order(1, 7, None));
    relays.begin();
    assert!(!relays.answered(WEST, 1, true));
    assert!(relays.take_batches().is_empty());
    assert!(relays.expire(now + Duration::from_secs(9)).is_empty());
}

#[test]
fn the_part_that_others_carry_grows_with_the_share() {
    let relays = relays();
    let carried = |share| {
        let hosts = 0..=255;
        let carried = hosts.filter(|host| {
            let order = order(1, *host, None);
            relays.choose(Duration::ZERO, share, &order.kind).is_some()
        });
        carried.count()
    };
    assert_eq!((carried(0.0), carried(1.0)), (0, 256));
    let half = carried(0.5);
    assert!((100..=156).contains(&half), "{half} of 256");
}
