//! A planned stop of an entry cuts off no request.

use crate::cluster::{Cluster, Shape, single, wait_until};
use celerythread_standin::history::Told;
use celerythread_standin::load;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Guards against a roll-out of the daemon that cuts off requests because a process ends while
/// answers are in flight.
#[async_std::test]
async fn a_stop_under_load_cuts_off_nothing() {
    let shape = Shape { entries: 3, duration: Duration::from_millis(60), ..Shape::default() };
    let mut cluster = Cluster::start(shape).await;
    let in_rotation: Vec<Arc<AtomicBool>> =
        cluster.entries.iter().map(|_| Arc::new(AtomicBool::new(true))).collect();
    let stopped = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for worker in 0..6 {
        let entries: Vec<_> = cluster.entries.iter().map(|entry| entry.callers).collect();
        let (in_rotation, stopped) = (in_rotation.clone(), stopped.clone());
        callers.push(async_std::task::spawn(async move {
            let mut done = Vec::new();
            let mut n = 0;
            while !stopped.load(Ordering::SeqCst) {
                // As a load balancer does, sends only to entries that are ready.
                let index = (0..entries.len())
                    .map(|i| (i + n + worker) % entries.len())
                    .find(|i| in_rotation[*i].load(Ordering::SeqCst));
                let mut one = single(&format!("{worker}-{n}"), "alpha");
                one.idempotent = n % 2 == 0;
                done.push(load::send(entries[index.unwrap()], &one).await);
                n += 1;
            }
            done
        }));
    }
    async_std::task::sleep(Duration::from_millis(400)).await;
    // The load balancer polls readiness, so it learns of the stop only after a delay.
    let daemon = cluster.entries[0].daemon.take().unwrap();
    let unready = in_rotation[0].clone();
    let readiness_poll = async_std::task::spawn(async move {
        async_std::task::sleep(Duration::from_millis(20)).await;
        unready.store(false, Ordering::SeqCst);
    });
    let report = daemon.stop().await;
    readiness_poll.await;
    assert_eq!((report.unanswered, report.unsettled, report.deregistered), (0, 0, true));
    async_std::task::sleep(Duration::from_millis(400)).await;
    stopped.store(true, Ordering::SeqCst);
    let mut asked = Vec::new();
    for caller in callers {
        for done in caller.await {
            let answered = matches!(done.asked.told, Told::Answer(200, _));
            assert!(answered, "{}: {:?}", done.asked.id, done.asked.told);
            asked.push(done.asked);
        }
    }
    assert!(asked.len() > 50);
    assert_eq!(cluster.breaches(&asked), []);
    // The stopped entry released its minions, so that their new owners need not wait for it.
    wait_until("its minions have new owners", async || {
        let mut owned = true;
        for name in cluster.minions.keys() {
            let row = cluster.ownership(name).await.unwrap();
            owned &= row.owner.is_some() && row.former.is_empty();
        }
        owned
    })
    .await;
    cluster.stop().await;
}
