//! Lookups in a catalog of queues and pools, and its validation.

use std::time::Duration;

use egretpin::core::workload::catalog::{
    Catalog, CatalogError, CatalogPart, PathTarget, PoolSpec, QueueSpec,
};

fn queue(name: &str, host: &str, prefix: &str) -> QueueSpec {
    QueueSpec {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        timeout: Duration::from_secs(1),
        pool: "pool".into(),
        ..QueueSpec::default()
    }
}

fn catalog(queues: Vec<QueueSpec>) -> Catalog {
    let pool = PoolSpec {
        name: "pool".into(),
        ..PoolSpec::default()
    };
    Catalog::new(1, queues, vec![pool])
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let catalog = catalog(vec![
        queue("short", "a.example", "/x/"),
        queue("long", "a.example", "/x/y/"),
        queue("other", "b.example", "/x/y/"),
    ]);
    let name = |host, path| {
        catalog
            .find(host, path)
            .map(|(queue, _)| queue.name.to_string())
    };
    assert_eq!(name("a.example", "/x/y/1").as_deref(), Some("long"));
    assert_eq!(name("a.example", "/x/z").as_deref(), Some("short"));
    assert_eq!(name("b.example", "/x/y/").as_deref(), Some("other"));
    assert_eq!(name("b.example", "/x/"), None);
    assert_eq!(name("c.example", "/x/y/"), None);
}

#[test]
fn a_job_is_sixteen_hexadecimal_digits() {
    let catalog = catalog(vec![queue("q", "a", "/q/")]);
    let target = |path| catalog.find("a", path).map(|(_, target)| target);
    assert_eq!(target("/q/00000000000000ff"), Some(PathTarget::Job(255)));
    assert_eq!(target("/q/"), Some(PathTarget::Queue));
    for path in [
        "/q/ff",
        "/q/00000000000000fg",
        "/q/+0000000000000ff",
        "/q/0/0",
    ] {
        assert_eq!(target(path), Some(PathTarget::Nothing), "{path}");
    }
}

#[test]
fn errors_name_what_is_wrong() {
    let check = |queues| catalog(queues).check();
    let same_prefix = vec![queue("a", "h", "/p/"), queue("b", "h", "/p/")];
    assert_eq!(
        check(same_prefix).map_err(|e| e.to_string()),
        Err("queues a and b share host h and prefix /p/".to_owned())
    );
    let mut unknown_pool = queue("a", "h", "/p/");
    unknown_pool.pool = "nowhere".into();
    assert_eq!(
        check(vec![unknown_pool]),
        Err(CatalogError::UnknownPool {
            queue: "a".into(),
            pool: "nowhere".into()
        })
    );
    let mut no_timeout = queue("a", "h", "/p/");
    no_timeout.timeout = Duration::ZERO;
    assert_eq!(
        check(vec![no_timeout]),
        Err(CatalogError::NoTimeout { queue: "a".into() })
    );
    assert_eq!(
        check(vec![queue("a", "h", "/p/"), queue("b", "g", "/p/")]),
        Ok(())
    );
}

/// A version with such numbers was taken, and ended each control process once there was a job.
#[test]
fn numbers_that_cannot_be_summed_are_invalid() {
    let changes: [fn(&mut QueueSpec); 8] = [
        |queue| queue.timeout = Duration::from_millis(u64::MAX),
        |queue| queue.objective_offset = Duration::from_millis(u64::MAX),
        |queue| queue.stretch = 1e300,
        |queue| queue.stretch = f64::INFINITY,
        |queue| queue.stretch = f64::NAN,
        |queue| queue.eligibility.get_or_insert_default().per_query = Duration::MAX,
        |queue| queue.eligibility.get_or_insert_default().per_agent = Duration::MAX,
        |queue| queue.eligibility.get_or_insert_default().valid_for = Duration::MAX,
    ];
    for change in changes {
        let mut extreme = queue("a", "h", "/p/");
        change(&mut extreme);
        let catalog = catalog(vec![extreme]);
        let error = catalog.check().expect_err("the number is too large");
        assert!(error.to_string().contains("queue a"), "{error}");
        assert_eq!(catalog.clamped().check(), Ok(()));
    }
    let mut limits = catalog(vec![queue("a", "h", "/p/")]);
    limits.limits.idle_timeout = Duration::from_millis(u64::MAX);
    let error = limits.check().expect_err("the time is too long");
    assert_eq!(error.part(), CatalogPart::Limits);
    // Any number of attempts can be counted.
    let mut patient = queue("a", "h", "/p/");
    patient.max_attempts = u32::MAX;
    assert_eq!(catalog(vec![patient]).check(), Ok(()));
}
