//! Lookups that tasks share.

use celerythread_sync::Lookups;
use futures::future::join_all;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// An interval that doesn't end within a test.
const LONG: Duration = Duration::from_secs(3600);

/// Looks a key up `count` times at once; returns how many lookups began.
async fn look_up(lookups: &Lookups<&'static str, usize>, key: &'static str, count: usize) -> usize {
    let begun = Arc::new(AtomicUsize::new(0));
    let outcomes = (0..count).map(|_| {
        let begun = begun.clone();
        lookups.get(key, || async move {
            async_std::task::yield_now().await;
            begun.fetch_add(1, Ordering::SeqCst)
        })
    });
    join_all(outcomes).await;
    begun.load(Ordering::SeqCst)
}

/// Guards against calls that grow in number with the requests that wait for their outcome.
#[async_std::test]
async fn tasks_share_a_lookup() {
    let lookups = Lookups::new(LONG);
    assert_eq!(look_up(&lookups, "a", 100).await, 1);
    assert_eq!(look_up(&lookups, "a", 100).await, 0, "the outcome is recent");
    assert_eq!(look_up(&lookups, "b", 100).await, 1, "another key has a lookup of its own");
}

/// Guards against an outcome that is used after its interval.
#[async_std::test]
async fn an_old_outcome_is_not_used() {
    let lookups = Lookups::new(Duration::ZERO);
    assert_eq!(look_up(&lookups, "a", 1).await, 1);
    assert_eq!(look_up(&lookups, "a", 1).await, 1);
}

/// Guards against tasks that wait for a lookup whose first task has gone.
#[async_std::test]
async fn a_lookup_goes_on_without_its_first_task() {
    let lookups = Lookups::new(LONG);
    let first = lookups.get("a", || async {
        async_std::task::yield_now().await;
        7
    });
    let second = lookups.get("a", || async { 8 });
    drop(first);
    assert_eq!(second.await, 7);
}
