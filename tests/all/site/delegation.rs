//! Calls of an owner to its minions, in counts, and the loss of the entries that make some of them.

use super::*;
use celerythread_standin::site::{check, store};

/// So little of a core that a few jobs a second make more calls than one entry is to make.
const CORES: &str = "cores = 0.02";

/// Calls a second that such an entry makes for its cell, by `engine::delegation`, and a fifth more
/// since minions are assigned by a hash.
const MAX_OWN_CALLS_PER_S: f64 = 80.0 * 1.2;

const TASKS: u32 = 4;

/// What a task of a job does.
#[derive(Clone, Copy, Debug)]
struct Task {
    millicores: u32,
    ms: u32,
}

impl Default for Task {
    fn default() -> Self {
        Self { millicores: 1000, ms: 150 }
    }
}

/// Task that takes a whole minion, so that the calls are spread over the minions.
const WIDE_TASK: Task = Task { millicores: 16_000, ms: 100 };

/// A deployment of small entries, with the addresses of their metrics.
struct Small {
    deployment: Deployment,
    metrics: Vec<SocketAddr>,
}

/// Sizes of a [`Small`] deployment.
#[derive(Clone, Copy, Debug)]
struct Sizes {
    zones: usize,
    /// In all zones.
    entries: usize,
    minions: usize,
    /// Entries that stand by before the test begins.
    standbys: usize,
}

impl Default for Sizes {
    fn default() -> Self {
        Self { zones: 1, entries: 5, minions: 30, standbys: 2 }
    }
}

impl Small {
    async fn start(test: &'static str, sizes: Sizes) -> Self {
        let Sizes { zones, entries, minions, standbys } = sizes;
        let site = Site::start(minions).await.unwrap();
        let mut deployment = Deployment { site, entries: Vec::new(), test };
        let mut metrics = Vec::new();
        for number in 0..entries {
            let address = free_address();
            let sections = format!("[metrics]\nlisten = {address}\n");
            let zone = format!("zone-{}", number % zones);
            let additional = AdditionalSettings {
                zone: &zone,
                instance: CORES,
                sections: &sections,
                ..Default::default()
            };
            let (store, machines) =
                (deployment.site.store_address(), deployment.site.machine_address());
            let name = format!("entry-{number}");
            let entry = Entry::start_configured(store, machines, test, &name, additional).await;
            deployment.add_started(entry).await;
            metrics.push(address);
        }
        eventually("the service has an owner", async || deployment.owner()).await;
        eventually("entries stand by", async || {
            let logged =
                |event| deployment.entries.iter().map(move |e| e.count_logged(event)).sum();
            let (claimed, released): (usize, usize) =
                (logged("standby_claimed"), logged("standby_released"));
            (claimed >= standbys + released).then_some(())
        })
        .await;
        Self { deployment, metrics }
    }

    /// The value of a counter of an entry.
    async fn counter(&self, entry: usize, name: &str) -> u64 {
        let name = format!("celerythread_{name}_total ");
        eventually("the metrics are served", async || {
            let page = call(self.metrics[entry], Method::Get, "/metrics", None).await?.1;
            let page = String::from_utf8(page).ok()?;
            page.lines().find_map(|line| line.strip_prefix(&name)?.parse().ok())
        })
        .await
    }

    /// Submits jobs at a rate through an entry; returns those that were accepted.
    async fn submit_jobs(
        &self,
        entry: usize,
        kind: Task,
        first: u32,
        count: u32,
        per_s: f64,
    ) -> Vec<(String, u32)> {
        let callers = self.deployment.entries[entry].callers;
        let began = Instant::now();
        let mut answers = BTreeMap::new();
        for number in 0..count {
            let due = Duration::from_secs_f64(f64::from(number) / per_s);
            task::sleep(due.saturating_sub(began.elapsed())).await;
            let job = id(first + number);
            let mut body = celerythread_standin::site::job(TASKS, &format!("ms={}", kind.ms));
            body["steps"][0]["cpu"] = json!(kind.millicores);
            let answer = call(callers, Method::Post, &format!("/q/{job}"), Some(body)).await;
            answers.insert(job, answer.map_or(0, |(status, _)| status));
        }
        accepted(&answers, TASKS)
    }

    /// The owner's own calls to minions for each second in which jobs are submitted at a rate.
    async fn own_calls(&self, first: u32, per_s: f64) -> f64 {
        const SECONDS: f64 = 4.0;
        let owner = self.deployment.owner().unwrap();
        let before = self.counter(owner, "minion_calls").await;
        let began = Instant::now();
        let count = (per_s * SECONDS) as u32;
        let jobs = self.submit_jobs(owner, WIDE_TASK, first, count, per_s).await;
        let calls = self.counter(owner, "minion_calls").await - before;
        let took = began.elapsed().as_secs_f64();
        for (job, _) in &jobs {
            self.deployment.wait_for_state(owner, job, "completed").await;
        }
        calls as f64 / took
    }
}

/// Guards against an owner whose calls to minions grow with its service, until it has no processor
/// time left, while other entries are idle.
#[async_std::test]
async fn an_owner_makes_no_more_calls_than_its_processor_bears() {
    // The owners of two cells leave two standbys in either zone, enough for the larger load.
    let sizes = Sizes { zones: 2, entries: 8, standbys: 4, ..Sizes::default() };
    let small = Small::start("delegation-load", sizes).await;
    // Until a delegate has agreed, the owner makes all calls.
    small.own_calls(1_000, 20.0).await;
    for (first, per_s) in [(2_000, 20.0), (3_000, 40.0)] {
        let calls = small.own_calls(first, per_s).await;
        assert!(calls <= MAX_OWN_CALLS_PER_S, "{calls:.0} own calls at {per_s} jobs a second");
    }
}

/// Guards against jobs that are lost, or run twice, when the entries that make calls for their owner
/// are lost.
#[async_std::test]
async fn lost_delegates_lose_no_job_and_nothing_runs_twice() {
    let small = Small::start("delegation-loss", Sizes { entries: 6, ..Sizes::default() }).await;
    let owner = small.deployment.owner().unwrap();
    let mut jobs = small.submit_jobs(owner, Task::default(), 1_000, 120, 60.0).await;
    eventually("calls are delegated", async || {
        (small.counter(owner, "delegated_calls").await > 0).then_some(())
    })
    .await;
    let standbys: Vec<usize> = (0..small.deployment.entries.len())
        .filter(|entry| *entry != owner)
        .filter(|entry| small.deployment.entries[*entry].has_logged("standby_claimed"))
        .collect();
    let kill = async {
        task::sleep(Duration::from_millis(300)).await;
        standbys.iter().for_each(|entry| small.deployment.entries[*entry].signal("-KILL"));
    };
    let (accepted, ()) =
        futures::join!(small.submit_jobs(owner, Task::default(), 2_000, 120, 60.0), kill);
    jobs.extend(accepted);
    assert!(jobs.len() > 200, "{} jobs accepted", jobs.len());
    for (job, _) in &jobs {
        small.deployment.wait_for_state(owner, job, "completed").await;
    }
    let history = small.deployment.site.history();
    assert_eq!(check::at_most_once(&history), Vec::<String>::new());
    assert_eq!(check::all_done(&history, &jobs), Vec::<String>::new());
}

/// Guards against a poll for each order to a minion whose ended runs are being written: it would
/// only repeat them.
#[async_std::test]
async fn orders_cause_no_polls_while_ends_are_written() {
    const JOBS: u32 = 80;
    const INTERVAL: Duration = Duration::from_millis(50);
    // Two of the entries may own a cell each.
    let sizes = Sizes { entries: 3, minions: 1, standbys: 1, ..Sizes::default() };
    let small = Small::start("delegation-polls", sizes).await;
    let owner = small.deployment.owner().unwrap();
    small.deployment.site.store.set_fault_mode(store::FaultMode::Slow);
    let polls = small.counter(owner, "holds").await;
    let starts = small.counter(owner, "starts").await;
    let submissions = (0..JOBS).map(|number| {
        let (small, job) = (&small, id(1_000 + number));
        async move {
            task::sleep(INTERVAL * number).await;
            let status = small.deployment.submit(owner, &job, 1, "ms=100").await;
            (job, status)
        }
    });
    let answers: BTreeMap<String, u16> =
        futures::future::join_all(submissions).await.into_iter().collect();
    let polls = small.counter(owner, "holds").await - polls;
    let starts = small.counter(owner, "starts").await - starts;
    small.deployment.site.store.set_fault_mode(store::FaultMode::None);
    for (job, _) in accepted(&answers, 1) {
        small.deployment.wait_for_state(owner, &job, "completed").await;
    }
    // Eight tasks are submitted while one write is under way.
    assert!(polls * 5 < starts, "{polls} polls for {starts} starts");
}
