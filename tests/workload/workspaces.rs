//! Keys of workspaces, the visibility of jobs, and caps.

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
        requires_key: keyed,
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

/// Guards against queues that serve any caller because no key is checked.
#[test]
fn a_queue_that_requires_a_key_serves_only_callers_with_one() {
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
fn a_queue_that_requires_no_key_serves_all_callers() {
    let catalog = two();
    let open = catalog.queue("open").unwrap();
    for shown in [None, Some(key("never")), Some(key("ka"))] {
        assert_eq!(catalog.caller(open, shown), Ok(None));
    }
}

#[test]
fn a_job_is_visible_to_its_own_workspace_under_each_of_its_keys() {
    let catalog = two();
    let [a, b] = ["ka", "kc"].map(|text| catalog.workspace_for_key(key(text)));
    let spec = JobSpec::new("x", vec![StepSpec::new(1, Duration::from_secs(1))]);
    let mut job = Job::new("keyed".into(), "soil".into(), spec.clone(), Duration::ZERO);
    job.workspace = Some("a".into());
    assert!(
        catalog.may_see(a, &job) && catalog.may_see(catalog.workspace_for_key(key("kb")), &job)
    );
    assert!(!catalog.may_see(b, &job) && !catalog.may_see(None, &job));
    // Its queue requires no key any more, so that its own callers present none.
    job.queue = "open".into();
    assert!(catalog.may_see(None, &job));
}

/// Guards against accepting a catalog in which two workspaces share a key.
#[test]
fn a_key_belongs_to_one_workspace() {
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
        "workspace a is given twice"
    );
    let repeated = catalog(vec![workspace("a", &["ka", "ka"])]);
    assert_eq!(
        repeated.check().unwrap_err().to_string(),
        "workspace a has a key twice; give each once"
    );
    assert_eq!(two().check(), Ok(()));
}

/// Guards against keys in the `Debug` output of a catalog.
#[test]
fn debug_output_contains_no_key() {
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
fn each_kind_of_resource_has_its_cap() {
    let resources = |millicores, memory| Resources {
        millicores,
        memory,
        ..Resources::default()
    };
    let cap = Cap(resources(4000, 100));
    assert!(cap.allows(&resources(2000, 50), &resources(1000, 25), 2));
    assert!(!cap.allows(&resources(2000, 50), &resources(1000, 26), 2));
    assert!(!cap.allows(&resources(2000, 50), &resources(1000, 1), 3));
    assert!(
        cap.allows(&resources(0, 0), &resources(2000, 1), 3),
        "the last task alone may exceed the cap"
    );
    assert!(!cap.allows(&resources(0, 0), &resources(2000, 1), 4));
    assert_eq!(cap.max_parallel(&resources(1000, 50)), 2);
    assert_eq!(cap.max_parallel(&resources(9000, 1)), 1);
    assert_eq!(Cap::default().max_parallel(&resources(9000, 1)), u32::MAX);
}
