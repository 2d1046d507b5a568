//! Links between entries: borrowed slots, and entries that die, are cut off or abandon an exchange.

use crate::cluster::{Cluster, Shape, single, wait_until};
use celerythread_model::request::Class;
use celerythread_model::unit::{Revision, Span};
use celerythread_standin::history::Told;
use celerythread_standin::load::RequestSpec;
use celerythread_wire::Frame;
use celerythread_wire::frame;
use std::time::Duration;

/// All minions of the service are owned by one entry; the others serve with slots lent by it.
#[async_std::test]
async fn an_entry_without_minions_borrows_slots() {
    let shape = Shape { entries: 3, minions: vec![("alpha", 1)], floor: 0, ..Shape::default() };
    let cluster = Cluster::start(shape).await;
    let mut asked = Vec::new();
    for n in 0..60 {
        let done = cluster.send(n % 3, &single(&format!("r{n}"), "alpha")).await;
        assert!(matches!(done.asked.told, Told::Answer(200, _)), "{:?}", done.asked.told);
        asked.push(done.asked);
    }
    assert_eq!(cluster.breaches(&asked), []);
    assert!(cluster.minions["alpha-0"].record().most_outstanding <= 4);
    cluster.stop().await;
}

/// The entries of an availability zone that is cut off from the platform continue to serve with
/// their own minions and those of other entries, and learn of changes from their peers.
#[async_std::test]
async fn a_zone_cut_off_from_the_platform_goes_on_serving() {
    let cluster = Cluster::start(Shape { entries: 3, zones: 3, ..Shape::default() }).await;
    cluster.entries[1].switch.set_down(true);
    let mut asked = Vec::new();
    for n in 0..60 {
        let done = cluster.send(1, &single(&format!("r{n}"), "alpha")).await;
        assert!(matches!(done.asked.told, Told::Answer(200, _)), "{:?}", done.asked.told);
        asked.push(done.asked);
    }
    cluster.apply_config(0, "c2", Revision(1), "n2").await.unwrap();
    wait_until("the configuration is in force in the cut-off zone", async || {
        cluster.config_number(1).await == 2
    })
    .await;
    assert_eq!(cluster.breaches(&asked), []);
    cluster.entries[1].switch.set_down(false);
    cluster.stop().await;
}

/// Slots lent to an entry that dies must be reclaimed; otherwise the service loses capacity with
/// each such death.
#[async_std::test]
async fn slots_lent_to_a_dead_entry_are_reclaimed() {
    let shape = Shape {
        entries: 2,
        minions: vec![("alpha", 1)],
        floor: 0,
        // Longer than the test, so that the slots can't become free because requests end.
        duration: Duration::from_secs(60),
        ..Shape::default()
    };
    let mut cluster = Cluster::start(shape).await;
    let owner = cluster.owner_index("alpha-0").await;
    let borrower = 1 - owner;
    let entry = cluster.entries[borrower].callers;
    for n in 0..4 {
        async_std::task::spawn(async move {
            let long = Span::secs(60);
            let one = RequestSpec { deadline: long, ..single(&format!("lost{n}"), "alpha") };
            celerythread_standin::load::send(entry, &one).await
        });
    }
    wait_until("all slots are lent", async || cluster.minions["alpha-0"].outstanding() == 4).await;
    cluster.entries[borrower].switch.set_down(true);
    cluster.kill(borrower);
    wait_until("the slots are free again", async || {
        let status = cluster.get(owner, "/v1/status").await.unwrap();
        let service = &status["services"][0];
        service["free"] == 4 && status["entries"].as_array().unwrap().len() == 1
    })
    .await;
    cluster.stop().await;
}

/// Guards against a leaked slot: a peer stops waiting for a slot just as it is granted, which ends
/// the exchange and not the link.  The slot would never be free again, and a drain of the minion
/// would never end.
#[async_std::test]
async fn a_slot_granted_to_an_abandoned_request_is_released() {
    let shape = Shape { entries: 2, minions: vec![("alpha", 1)], floor: 0, ..Shape::default() };
    let cluster = Cluster::start(shape).await;
    let owner = cluster.owner_index("alpha-0").await;
    let id_of = |index: usize| cluster.entries[index].daemon.as_ref().unwrap().id().clone();
    let free = async || {
        let status = cluster.get(owner, "/v1/status").await.ok()?;
        status["services"][0]["free"].as_u64()
    };
    // The row names the owner shortly before the owner starts to grant slots.
    wait_until("the owner grants its slots", async || free().await == Some(4)).await;
    let endpoint = cluster.peer_endpoint();
    let address = cluster.entries[owner].daemon.as_ref().unwrap().peer_address();
    let link = endpoint.dial(address).await.unwrap();
    let mut channel = link.open().await.unwrap();
    // The heartbeats of the real peer continue meanwhile and don't list this grant.
    let ask = frame::Ask {
        entry: id_of(1 - owner),
        service: "alpha".parse().unwrap(),
        class: Class::Urgent,
        left_ms: 5000,
        wait: false,
        avoid: None,
    };
    channel.send(&Frame::Ask(ask)).await.unwrap();
    let answer = channel.receive().await;
    assert!(matches!(answer, Ok(Frame::Grant(_))), "{answer:?}");
    assert_eq!(free().await, Some(3));
    drop(channel);
    wait_until("the slot is free again", async || free().await == Some(4)).await;
    assert!(!link.is_closed());
    cluster.stop().await;
}
