//! Tests of the claims as part of the replicated state.

use std::{sync::Arc, time::Duration};

use ciborium::Value;
use egretpin::core::{
    claims::{self, Claim, Holder},
    declaration::{BudgetSpec, Declaration, PoolSpec, PresetSpec, ServiceSpec},
    dispatch::ClaimAnswer,
    state::{Command, Event, Refusal, Reply, Request, State},
    types::{NodeId, Wall},
};

fn state_with_service() -> State {
    let mut fleet = Declaration::default();
    fleet.pools.insert("p".into(), PoolSpec::default());
    fleet.presets.insert("calm".into(), PresetSpec::default());
    let service = ServiceSpec {
        pool: "p".into(),
        idempotent: false,
        budget: BudgetSpec::default(),
        timeout: Duration::from_secs(5),
    };
    fleet.services.insert("s".into(), service);
    let request = Request::Apply {
        declaration: Arc::new(fleet),
        preset: None,
        expected: 0,
    };
    let mut state = State::default();
    state.apply(1, &Command::operator(Wall::from_secs(1), "first", request));
    state
}

fn claim(node: NodeId, service: &str) -> Claim {
    Claim {
        holder: Holder {
            node,
            boot: 1,
            request: 1,
        },
        service: service.into(),
        key: "k".into(),
    }
}

fn apply(state: &mut State, second: u64, command: claims::Command) -> Reply {
    let at = Wall::from_secs(second);
    state.apply(second, &Command::system(at, Event::Key(command)))
}

fn claimed(answer: ClaimAnswer) -> Reply {
    Reply::Claimed { answer }
}

#[test]
fn a_claim_survives_a_snapshot_and_expires_by_the_time_of_any_command() {
    let mut state = state_with_service();
    let first = claims::Command::Claim(claim(1, "s"));
    assert_eq!(apply(&mut state, 10, first), claimed(ClaimAnswer::Granted));

    let mut state = State::from_image(&state.image()).unwrap();
    let resend = claims::Command::Claim(claim(2, "s"));
    let after = Duration::from_secs(5);
    let busy = claimed(ClaimAnswer::Busy { after });
    assert_eq!(apply(&mut state, 15, resend.clone()), busy);
    assert_eq!(apply(&mut state, 20, resend), claimed(ClaimAnswer::Spent));

    apply(
        &mut state,
        4000,
        claims::Command::Claim(claim(1, "unknown")),
    );
    assert!(state.claims().is_empty());
}

#[test]
fn a_key_that_provably_did_not_run_is_free_again() {
    let mut state = state_with_service();
    apply(&mut state, 10, claims::Command::Claim(claim(1, "s")));
    let settle = claims::Command::Settle {
        claim: claim(1, "s"),
        ran: false,
    };
    assert_eq!(apply(&mut state, 11, settle), Reply::Noted);
    let resend = claims::Command::Claim(claim(2, "s"));
    assert_eq!(apply(&mut state, 12, resend), claimed(ClaimAnswer::Granted));
}

#[test]
fn a_key_of_an_undeclared_service_is_not_claimed() {
    let refused = apply(
        &mut state_with_service(),
        10,
        claims::Command::Claim(claim(1, "t")),
    );
    let service = "t".into();
    assert_eq!(refused, Reply::Refused(Refusal::NoService { service }));
}

#[test]
fn a_snapshot_without_claims_is_read() {
    let mut snapshot: Value = ciborium::from_reader(&state_with_service().image()[..]).unwrap();
    let fields = snapshot.as_map_mut().unwrap();
    let state = fields
        .iter_mut()
        .find(|(name, _)| name.as_text() == Some("state"));
    let fields = state.unwrap().1.as_map_mut().unwrap();
    let before = fields.len();
    fields.retain(|(name, _)| name.as_text() != Some("claims"));
    assert_eq!(fields.len(), before - 1);
    let mut bytes = Vec::new();
    ciborium::into_writer(&snapshot, &mut bytes).unwrap();
    assert_eq!(State::from_image(&bytes).unwrap(), state_with_service());
}
