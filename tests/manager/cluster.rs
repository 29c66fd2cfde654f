//! How a control node creates and saves the cluster id.

use std::fs;

use egretpin::{
    core::{
        cluster::{Cluster, Founder},
        types::NodeId,
        workload::{command::Command, ledger::Ledger},
    },
    manager::cluster::{founders, load, save},
};

fn cluster(id: u64) -> Cluster {
    let founders = vec![Founder {
        node: 1,
        folder: 40,
    }];
    Cluster { id, founders }
}

#[test]
fn an_id_is_created_only_when_all_nodes_can_decode_it() {
    let said = |node: NodeId| (node != 3).then_some(node + 40);
    let made = founders(&[1, 2], &[4], said).unwrap();
    assert_eq!(
        made[1],
        Founder {
            node: 2,
            folder: 42
        }
    );
    assert_eq!(made.len(), 2);
    assert_eq!(founders(&[1, 2, 3], &[], said), None);
    assert_eq!(founders(&[1, 2], &[3], said), None);
}

#[test]
fn a_folder_stores_its_cluster() {
    let folder = tempfile::tempdir().unwrap();
    assert_eq!(load(folder.path()).unwrap(), None);
    save(folder.path(), &cluster(7)).unwrap();
    assert_eq!(load(folder.path()).unwrap(), Some(cluster(7)));
    fs::write(folder.path().join("cluster"), "{").unwrap();
    assert!(load(folder.path()).is_err());
}

#[test]
fn the_first_id_of_a_ledger_stays_and_is_in_its_snapshot() {
    let mut ledger = Ledger::default();
    assert_eq!(ledger.cluster(), None);
    for (index, id) in [(1, 7), (2, 8)] {
        let encoded = Command::SetCluster(cluster(id)).encode();
        ledger.apply(index, &Command::decode(&encoded).unwrap());
    }
    assert_eq!(ledger.cluster(), Some(&cluster(7)));
    let restored = Ledger::from_snapshot(&ledger.snapshot()).unwrap();
    assert_eq!(restored.cluster(), Some(&cluster(7)));
}

/// Earlier releases wrote snapshots without the `cluster` field.
#[test]
fn a_snapshot_of_an_earlier_release_has_no_id() {
    let image = Ledger::default().snapshot();
    let mut value: ciborium::Value = ciborium::from_reader(image.as_ref()).unwrap();
    let fields = value.as_map_mut().unwrap();
    let before = fields.len();
    fields.retain(|(name, _)| name.as_text() != Some("cluster"));
    assert_eq!(fields.len() + 1, before);
    let mut bytes = Vec::new();
    ciborium::into_writer(&value, &mut bytes).unwrap();
    assert_eq!(Ledger::from_snapshot(&bytes).unwrap().cluster(), None);
}
