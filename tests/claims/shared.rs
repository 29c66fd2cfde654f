//! The claims as part of the shared state.

use std::{sync::Arc, time::Duration};

use ciborium::Value;
use egretpin::core::{
    claims::{self, Claim, Holder},
    declaration::{BudgetSpec, Declaration, PoolSpec, PresetSpec, ServiceSpec},
    dispatch::ClaimAnswer,
    state::{Command, Event, Refusal, Reply, Request, State},
    types::{NodeId, Wall},
};

fn declared() -> State {
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

fn tell(state: &mut State, second: u64, command: claims::Command) -> Reply {
    let at = Wall::from_secs(second);
    state.apply(second, &Command::system(at, Event::Key(command)))
}

fn answered(answer: ClaimAnswer) -> Reply {
    Reply::Claimed { answer }
}

#[test]
fn a_claim_outlives_a_restart_and_is_forgotten_by_the_time_of_any_command() {
    let mut state = declared();
    let first = claims::Command::Claim(claim(1, "s"));
    assert_eq!(tell(&mut state, 10, first), answered(ClaimAnswer::Granted));

    let mut state = State::from_image(&state.image()).unwrap();
    let resend = claims::Command::Claim(claim(2, "s"));
    let after = Duration::from_secs(5);
    let busy = answered(ClaimAnswer::Busy { after });
    assert_eq!(tell(&mut state, 15, resend.clone()), busy);
    assert_eq!(tell(&mut state, 20, resend), answered(ClaimAnswer::Spent));

    tell(
        &mut state,
        4000,
        claims::Command::Claim(claim(1, "unknown")),
    );
    assert!(state.claims().is_empty());
}

#[test]
fn a_key_that_provably_did_not_run_is_free_again() {
    let mut state = declared();
    tell(&mut state, 10, claims::Command::Claim(claim(1, "s")));
    let settle = claims::Command::Settle {
        claim: claim(1, "s"),
        ran: false,
    };
    assert_eq!(tell(&mut state, 11, settle), Reply::Noted);
    let resend = claims::Command::Claim(claim(2, "s"));
    assert_eq!(tell(&mut state, 12, resend), answered(ClaimAnswer::Granted));
}

#[test]
fn a_key_of_an_undeclared_service_is_not_claimed() {
    let refused = tell(&mut declared(), 10, claims::Command::Claim(claim(1, "t")));
    let service = "t".into();
    assert_eq!(refused, Reply::Refused(Refusal::NoService { service }));
}

#[test]
fn an_image_from_before_there_were_claims_is_read() {
    let mut image: Value = ciborium::from_reader(&declared().image()[..]).unwrap();
    let fields = image.as_map_mut().unwrap();
    let state = fields
        .iter_mut()
        .find(|(name, _)| name.as_text() == Some("state"));
    let fields = state.unwrap().1.as_map_mut().unwrap();
    let before = fields.len();
    fields.retain(|(name, _)| name.as_text() != Some("claims"));
    assert_eq!(fields.len(), before - 1);
    let mut bytes = Vec::new();
    ciborium::into_writer(&image, &mut bytes).unwrap();
    assert_eq!(State::from_image(&bytes).unwrap(), declared());
}
