//! Which relay executes an order, and what happens to orders that a relay leaves unanswered.

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
/// Relays in the data centres `east` and `west`.
const EAST: NodeId = 1;
const WEST: NodeId = 2;

fn relays() -> Relays {
    let mut relays = Relays::default();
    relays.set_nodes(vec![(EAST, "east".into()), (WEST, "west".into())]);
    relays
}

fn address(host: u8) -> SocketAddr {
    ([10, 0, 0, host], 80).into()
}

/// An order to an agent in the west: a renewal whose answer may wait for `wait`, or else a stop.
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

/// Assigns an order to the relay that is chosen for it. Returns the relay.
fn carry(relays: &mut Relays, now: Now, order: Order) -> Option<NodeId> {
    let relay = relays.choose(now, 1.0, &order.kind)?;
    relays.assign(now, relay, EXCHANGE, order);
    Some(relay)
}

#[test]
fn all_orders_of_a_relay_expire_when_it_leaves_one_unanswered() {
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
        !relays.record_answer(WEST, 1, true),
        "the answer isn't waited for any more"
    );
    let next = order(3, 7, None);
    assert_eq!(relays.choose(late, 1.0, &next.kind), Some(EAST));
    let later = late + Duration::from_secs(3);
    assert_eq!(relays.choose(later, 1.0, &next.kind), Some(WEST));
}

#[test]
fn a_relay_that_fails_repeatedly_is_avoided_for_longer() {
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
fn the_leader_calls_an_agent_that_its_relay_does_not_reach_until_it_answers() {
    let (mut relays, now) = (relays(), Duration::from_secs(9));
    carry(&mut relays, now, order(1, 7, None));
    assert!(relays.record_answer(WEST, 1, false));
    let next = order(2, 7, None);
    assert_eq!(relays.choose(now, 1.0, &next.kind), None);
    let other = order(3, 8, None);
    assert_eq!(relays.choose(now, 1.0, &other.kind), Some(WEST));
    relays.record_direct(&next);
    relays.record_direct_answer(2, true);
    assert_eq!(relays.choose(now, 1.0, &next.kind), Some(WEST));
}

#[test]
fn only_the_assigned_relay_answers_an_order_and_only_once() {
    let (mut relays, now) = (relays(), Duration::from_secs(9));
    carry(&mut relays, now, order(1, 7, None));
    assert!(!relays.record_answer(EAST, 1, true));
    assert!(relays.record_answer(WEST, 1, true));
    assert!(!relays.record_answer(WEST, 1, true));
    assert!(relays.expire(now + Duration::from_secs(9)).is_empty());
}

#[test]
fn a_new_leader_waits_for_no_earlier_order() {
    let (mut relays, now) = (relays(), Duration::from_secs(9));
    carry(&mut relays, now, order(1, 7, None));
    relays.reset();
    assert!(!relays.record_answer(WEST, 1, true));
    assert!(relays.take_batches().is_empty());
    assert!(relays.expire(now + Duration::from_secs(9)).is_empty());
}

#[test]
fn the_number_of_orders_through_relays_grows_with_the_share() {
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
