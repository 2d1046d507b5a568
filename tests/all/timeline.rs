//! The time line over all processes, and the command line's way to the entries.

use crate::cluster::{Cluster, Shape, until};
use celerythread::client::Client;
use celerythread::plot;
use celerythread_model::event::{self, Event, Kind};
use celerythread_model::unit::Revision;
use serde_json::Value;

async fn merged(cluster: &Cluster) -> Vec<Event> {
    let mut events = Vec::new();
    for index in 0..cluster.entries.len() {
        let own = cluster.get(index, "/v1/timeline").await.unwrap();
        events.extend(serde_json::from_value::<Vec<Event>>(own).unwrap());
    }
    event::merge(events)
}

/// An operator reads that a configuration was in force before it was accepted, because one
/// instance's clock is ahead.  The order must be that of cause and effect.
#[async_std::test]
async fn no_effect_stands_before_its_cause() {
    let cluster = Cluster::start(Shape { entries: 3, zones: 3, ..Shape::default() }).await;
    for number in 2..6 {
        let index = number as usize % 3;
        cluster
            .apply(index, &format!("c{number}"), Revision(number - 1), &format!("n{number}"))
            .await
            .unwrap();
        for entry in 0..3 {
            until("in force", async || cluster.config_number(entry).await >= number).await;
        }
    }
    let events = merged(&cluster).await;
    for number in 2..6 {
        let accepted = events.iter().position(
            |e| matches!(&e.kind, Kind::ConfigAccepted { number: n, .. } if n.0 == number),
        );
        let in_force: Vec<usize> = events
            .iter()
            .enumerate()
            .filter(|(_, e)| matches!(&e.kind, Kind::ConfigInForce { number: n } if n.0 == number))
            .map(|(at, _)| at)
            .collect();
        assert_eq!(in_force.len(), 3, "{number}");
        assert!(in_force.iter().all(|at| Some(*at) > accepted), "{number}");
    }
    let picture = plot::svg(&events).unwrap();
    assert!(picture.starts_with("<svg") && picture.contains("config-accepted"));
    cluster.stop().await;
}

/// One entry is gone, and the operator's command must not be.
#[async_std::test]
async fn a_call_that_cannot_reach_one_entry_tries_the_next() {
    let cluster = Cluster::start(Shape::default()).await;
    let nobody = "127.0.0.1:1".parse().unwrap();
    let client = Client::new(&[nobody, cluster.entries[1].operators]).unwrap();
    let status: Value = client.get("/v1/status").await.unwrap();
    assert_eq!(status["config"], 1);
    cluster.stop().await;
}
