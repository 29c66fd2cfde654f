//! Who may call, and what of others.

use std::time::Duration;

use egretpin::core::{
    types::Resources,
    workload::{
        catalog::{Catalog, CatalogError, CatalogPart, Denied, PoolSpec, QueueSpec},
        command::{CatalogText, Document},
        job::Job,
        spec::{JobSpec, StepSpec},
        workspace::{Cap, KeyDigest, WorkspaceSpec},
    },
};

fn key(text: &str) -> KeyDigest {
    KeyDigest::of(&text.into())
}

fn workspace(name: &str, keys: &[&str]) -> WorkspaceSpec {
    WorkspaceSpec {
        name: name.into(),
        keys: keys.iter().map(|text| key(text)).collect(),
        ..WorkspaceSpec::default()
    }
}

fn queue(name: &str, keyed: bool) -> QueueSpec {
    QueueSpec {
        name: name.into(),
        host: "jobs.example".into(),
        prefix: format!("/{name}/").into(),
        timeout: Duration::from_secs(1),
        pool: "soil".into(),
        keyed,
        ..QueueSpec::default()
    }
}

fn catalog(workspaces: Vec<WorkspaceSpec>) -> Catalog {
    let pool = PoolSpec {
        name: "soil".into(),
        ..PoolSpec::default()
    };
    let queues = vec![queue("keyed", true), queue("open", false)];
    Catalog::new(1, queues, vec![pool]).with_workspaces(workspaces)
}

fn two() -> Catalog {
    catalog(vec![workspace("a", &["ka", "kb"]), workspace("b", &["kc"])])
}

/// No key was asked for, so that any caller was served.
#[test]
fn a_queue_that_asks_for_a_key_serves_its_holders_alone() {
    let catalog = two();
    let keyed = catalog.queue("keyed").unwrap();
    let name = |text: &str| {
        let caller = catalog.caller(keyed, Some(key(text)));
        caller.map(|caller| caller.map(|found| found.name.to_string()))
    };
    assert_eq!(name("ka"), Ok(Some("a".to_owned())));
    assert_eq!(name("kb"), Ok(Some("a".to_owned())));
    assert_eq!(name("kc"), Ok(Some("b".to_owned())));
    assert_eq!(name("never"), Err(Denied));
    assert_eq!(catalog.caller(keyed, None).err(), Some(Denied));
}

#[test]
fn a_queue_that_asks_for_no_key_serves_all() {
    let catalog = two();
    let open = catalog.queue("open").unwrap();
    for shown in [None, Some(key("never")), Some(key("ka"))] {
        assert_eq!(catalog.caller(open, shown), Ok(None));
    }
}

#[test]
fn a_job_is_seen_by_its_own_workspace_whichever_key_it_shows() {
    let catalog = two();
    let [a, b] = ["ka", "kc"].map(|text| catalog.holder(key(text)));
    let spec = JobSpec::new("x", vec![StepSpec::new(1, Duration::from_secs(1))]);
    let mut job = Job::new("keyed".into(), "soil".into(), spec.clone(), Duration::ZERO);
    job.workspace = Some("a".into());
    assert!(catalog.may_see(a, &job) && catalog.may_see(catalog.holder(key("kb")), &job));
    assert!(!catalog.may_see(b, &job) && !catalog.may_see(None, &job));
    // Its queue asks for no key any more, so that its own callers show none.
    job.queue = "open".into();
    assert!(catalog.may_see(None, &job));
}

/// A catalog in which two workspaces share a key was taken.
#[test]
fn a_key_tells_one_workspace() {
    let shared = catalog(vec![
        workspace("a", &["ka", "secret"]),
        workspace("b", &["secret"]),
    ]);
    let error = shared.check().unwrap_err();
    assert!(matches!(error, CatalogError::SharedKey { .. }), "{error:?}");
    assert_eq!(error.part(), CatalogPart::Keys);
    assert_eq!(
        error.to_string(),
        "workspaces a and b share a key; give each its own"
    );
    let twice = catalog(vec![workspace("a", &["ka"]), workspace("a", &["kb"])]);
    assert_eq!(
        twice.check().unwrap_err().to_string(),
        "workspace a is declared twice"
    );
    let repeated = catalog(vec![workspace("a", &["ka", "ka"])]);
    assert_eq!(
        repeated.check().unwrap_err().to_string(),
        "workspace a lists a key twice; list each key once"
    );
    assert_eq!(two().check(), Ok(()));
}

/// Keys stood in what is shown of a catalog.
#[test]
fn no_key_is_shown() {
    let text = br#"{"apiKeys":["top-secret"]}"#.as_slice();
    let document = Document {
        version: 1,
        text: CatalogText(text.into()),
    };
    let shown = format!(
        "{document:?} {:?}",
        catalog(vec![workspace("a", &["top-secret"])])
    );
    assert!(!shown.contains("top-secret") && !shown.contains(&format!("{text:?}")));
    assert!(shown.contains("KeyDigest(..)"), "{shown}");
}

#[test]
fn each_kind_of_room_has_its_cap() {
    let room = |millicores, memory| Resources {
        millicores,
        memory,
        ..Resources::default()
    };
    let cap = Cap(room(4000, 100));
    assert!(cap.allows(&room(2000, 50), &room(1000, 25), 2));
    assert!(!cap.allows(&room(2000, 50), &room(1000, 26), 2));
    assert!(!cap.allows(&room(2000, 50), &room(1000, 1), 3));
    assert!(
        cap.allows(&room(0, 0), &room(2000, 1), 3),
        "one task beyond"
    );
    assert!(!cap.allows(&room(0, 0), &room(2000, 1), 4));
    assert_eq!(cap.width(&room(1000, 50)), 2);
    assert_eq!(cap.width(&room(9000, 1)), 1);
    assert_eq!(Cap::default().width(&room(9000, 1)), u32::MAX);
}
