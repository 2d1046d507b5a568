//! The state that threads share, under the interleavings that `shuttle` generates.

use celerythread_model::request::Class;
use celerythread_model::table::{Row, Space};
use celerythread_model::unit::{Epoch, Revision, Slots};
use celerythread_policy::queue::{Bounds, Queue, QueuedRequest};
use celerythread_policy::slots::{DispatchResult, Holder, Ledger, Spec};
use celerythread_policy::time::Moment;
use celerythread_policy::view::View;
use shuttle::sync::{Arc, Mutex, RwLock};
use shuttle::thread;
use std::time::Duration;

/// Random interleavings per test.
const INTERLEAVINGS: usize = 2000;

fn ledger(slots: u32) -> Ledger {
    let mut ledger = Ledger::default();
    let spec = Spec {
        service: "s".parse().unwrap(),
        slots: Slots(slots),
        address: "127.0.0.1:1".parse().unwrap(),
        epoch: Epoch(1),
        active: true,
    };
    ledger.upsert_minion("m".parse().unwrap(), spec, None);
    ledger
}

/// Two requests race with a drain: once the owner has seen the minion idle after the drain, no
/// request may be on it or be sent to it.  As in the daemon, each step locks the ledger separately.
#[test]
fn a_drained_idle_minion_stays_idle() {
    shuttle::check_random(
        || {
            let ledger = Arc::new(Mutex::new(ledger(2)));
            let senders: Vec<_> = (0..2)
                .map(|_| {
                    let ledger = ledger.clone();
                    thread::spawn(move || {
                        let granted = ledger.lock().unwrap().grant(
                            &"s".parse().unwrap(),
                            Holder::Own,
                            None,
                            Moment(0),
                        );
                        if let Some(permit) = granted {
                            thread::yield_now();
                            let took = Duration::from_millis(1);
                            ledger.lock().unwrap().finish(
                                permit.grant,
                                DispatchResult::Answered,
                                took,
                                Moment(1),
                            );
                        }
                    })
                })
                .collect();
            let minion = "m".parse().unwrap();
            {
                let mut ledger = ledger.lock().unwrap();
                let spec = Spec {
                    service: "s".parse().unwrap(),
                    slots: Slots(2),
                    address: "127.0.0.1:1".parse().unwrap(),
                    epoch: Epoch(1),
                    active: false,
                };
                ledger.upsert_minion("m".parse().unwrap(), spec, None);
            }
            thread::yield_now();
            let idle = ledger.lock().unwrap().is_idle(&minion, Moment(0));
            if idle {
                thread::yield_now();
                assert_eq!(
                    ledger.lock().unwrap().outstanding(&minion),
                    0,
                    "the minion has work after it was idle"
                );
            }
            senders.into_iter().for_each(|sender| sender.join().unwrap());
        },
        INTERLEAVINGS,
    );
}

/// A request is cancelled while a slot becomes free: the slot must neither be lost nor be used
/// twice.
#[test]
fn a_cancelled_wait_never_loses_a_slot() {
    shuttle::check_random(
        || {
            let slots = Arc::new(Mutex::new(ledger(1)));
            let queue = Arc::new(Mutex::new(Queue::<u32>::default()));
            let bounds = Bounds { limit: 9, patient_share: celerythread_model::config::Ratio(0.1) };
            for item in 0..2 {
                let waiting = QueuedRequest { item, class: Class::Urgent, deadline: Moment(99) };
                queue.lock().unwrap().push(waiting, Moment(0), bounds, 0.5).unwrap();
            }
            let canceller = {
                let queue = queue.clone();
                thread::spawn(move || queue.lock().unwrap().remove(|item| *item == 0))
            };
            let servers: Vec<_> = (0..2)
                .map(|_| {
                    let (queue, slots) = (queue.clone(), slots.clone());
                    thread::spawn(move || {
                        let service = "s".parse().unwrap();
                        let granted =
                            slots.lock().unwrap().grant(&service, Holder::Own, None, Moment(1));
                        let Some(permit) = granted else { return };
                        let next = queue.lock().unwrap().pop(Moment(1), bounds.patient_share);
                        let result = if next.is_some() {
                            DispatchResult::Answered
                        } else {
                            DispatchResult::Unused
                        };
                        slots.lock().unwrap().finish(
                            permit.grant,
                            result,
                            Duration::ZERO,
                            Moment(1),
                        );
                    })
                })
                .collect();
            canceller.join().unwrap();
            servers.into_iter().for_each(|server| server.join().unwrap());
            let service = "s".parse().unwrap();
            assert_eq!(slots.lock().unwrap().capacity(&service, Moment(2)).free, 1);
        },
        INTERLEAVINGS,
    );
}

/// The table's poll and a peer's relay apply rows concurrently: readers never see a row go back.
#[test]
fn readers_never_see_a_row_go_back() {
    shuttle::check_random(
        || {
            let view = Arc::new(RwLock::new(View::default()));
            let writers: Vec<_> = [[1u64, 3], [2, 3]]
                .into_iter()
                .map(|revisions| {
                    let view = view.clone();
                    thread::spawn(move || {
                        for revision in revisions {
                            let row = Row {
                                space: Space::Fleet,
                                key: "minion/m".into(),
                                revision: Revision(revision),
                                value: Some("{}".into()),
                            };
                            view.write().unwrap().apply(&[row], Revision(revision));
                        }
                    })
                })
                .collect();
            let mut last = Revision(0);
            for _ in 0..4 {
                let now = view.read().unwrap().revision("minion/m");
                assert!(now >= last);
                last = now;
                thread::yield_now();
            }
            writers.into_iter().for_each(|writer| writer.join().unwrap());
            assert_eq!(view.read().unwrap().upto(), Revision(3));
        },
        INTERLEAVINGS,
    );
}
