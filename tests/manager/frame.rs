//! Messages between nodes of different releases.

use egretpin::{
    core::types::{DataCentreId, NodeId},
    manager::frame::{Frame, View},
};
use serde::{Deserialize, Serialize};

/// A view as releases before the end of the log was part of it send and read it.
#[derive(Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
struct EarlierView {
    data_centre: DataCentreId,
    term: u64,
    leader: Option<NodeId>,
    leaving: bool,
    controls: Vec<(NodeId, DataCentreId)>,
    limits: Option<()>,
    carries: bool,
}

#[derive(Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
enum EarlierFrame {
    View(EarlierView),
}

fn earlier() -> EarlierFrame {
    EarlierFrame::View(EarlierView {
        data_centre: "a".into(),
        term: 7,
        leader: Some(1),
        leaving: false,
        controls: vec![(1, "a".into())],
        limits: None,
        carries: true,
    })
}

fn view() -> View {
    View {
        data_centre: "a".into(),
        term: 7,
        leader: Some(1),
        leaving: false,
        controls: vec![(1, "a".into())],
        limits: None,
        relays: true,
        last_index: None,
        received: 0,
    }
}

/// Guards against a rolling upgrade in which control nodes don't understand each other's views.
#[test]
fn views_of_earlier_releases_are_read_and_can_be_read_by_them() {
    let mut bytes = Vec::new();
    ciborium::into_writer(&earlier(), &mut bytes).unwrap();
    let read = Frame::decode(&bytes);
    assert!(
        matches!(&read, Some(Frame::View(read)) if *read == view()),
        "{read:?}"
    );
    let sent = View {
        last_index: Some(9000),
        received: 1,
        ..view()
    };
    let bytes = Frame::View(sent).encode();
    let read: EarlierFrame = ciborium::from_reader(bytes.as_ref()).unwrap();
    assert_eq!(read, earlier());
}
