//! Calls of an owner to its minions, in counts, and the loss of the entries that make some of them.

use super::*;
use celerythread_standin::site::{check, store};
use std::net::TcpListener;

/// So little of a core that a few jobs a second make more calls than one entry is to make.
const CORES: &str = "cores = 0.02";

const TASKS: u32 = 4;

/// A deployment of small entries, with the addresses of their metrics.
struct Small {
    deployment: Deployment,
    metrics: Vec<SocketAddr>,
}

impl Small {
    async fn start(test: &'static str, entries: usize, minions: usize) -> Self {
        let site = Site::start(minions).await.unwrap();
        let mut deployment = Deployment { site, entries: Vec::new(), test };
        let mut metrics = Vec::new();
        for number in 0..entries {
            let address = free_address();
            let sections = format!("[metrics]\nlisten = {address}\n");
            let additional =
                AdditionalSettings { instance: CORES, sections: &sections, ..Default::default() };
            let (store, machines) =
                (deployment.site.store_address(), deployment.site.machine_address());
            let name = format!("entry-{number}");
            let entry = Entry::start_configured(store, machines, test, &name, additional).await;
            deployment.add_started(entry).await;
            metrics.push(address);
        }
        eventually("the service has an owner", async || deployment.owner()).await;
        eventually("two entries stand by", async || {
            let standbys = deployment.entries.iter().filter(|e| e.has_logged("standby_claimed"));
            (standbys.count() >= 2).then_some(())
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
        first: u32,
        count: u32,
        per_s: f64,
    ) -> Vec<(String, u32)> {
        let began = Instant::now();
        let mut answers = BTreeMap::new();
        for number in 0..count {
            let due = Duration::from_secs_f64(f64::from(number) / per_s);
            task::sleep(due.saturating_sub(began.elapsed())).await;
            let job = id(first + number);
            answers.insert(job.clone(), self.deployment.submit(entry, &job, TASKS, "ms=150").await);
        }
        accepted(&answers, TASKS)
    }

    /// The owner's own calls to minions for each second in which jobs are submitted at a rate.
    async fn own_calls(&self, first: u32, per_s: f64) -> f64 {
        const SECONDS: f64 = 4.0;
        let owner = self.deployment.owner().unwrap();
        let before = self.counter(owner, "minion_calls").await;
        let began = Instant::now();
        let jobs = self.submit_jobs(owner, first, (per_s * SECONDS) as u32, per_s).await;
        let calls = self.counter(owner, "minion_calls").await - before;
        let took = began.elapsed().as_secs_f64();
        for (job, _) in &jobs {
            self.deployment.wait_for_state(owner, job, "completed").await;
        }
        calls as f64 / took
    }
}

/// An address that nothing listens at.
fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Guards against an owner whose calls to minions grow with its service, until it has no processor
/// time left, while other entries are idle.
#[async_std::test]
async fn an_owner_makes_few_more_calls_as_its_load_doubles() {
    let small = Small::start("delegation-load", 5, 30).await;
    let once = small.own_calls(1_000, 20.0).await;
    let twice = small.own_calls(2_000, 40.0).await;
    assert!(twice < once * 1.5, "own calls a second: {once:.0}, at twice the load {twice:.0}");
}

/// Guards against jobs that are lost, or run twice, when the entries that make calls for their owner
/// are lost.
#[async_std::test]
async fn lost_delegates_lose_no_job_and_nothing_runs_twice() {
    let small = Small::start("delegation-loss", 6, 30).await;
    let owner = small.deployment.owner().unwrap();
    let mut jobs = small.submit_jobs(owner, 1_000, 120, 60.0).await;
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
    let (accepted, ()) = futures::join!(small.submit_jobs(owner, 2_000, 120, 60.0), kill);
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
    let small = Small::start("delegation-polls", 3, 1).await;
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
