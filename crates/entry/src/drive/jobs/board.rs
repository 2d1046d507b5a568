//! A local copy of the jobs' rows, kept up to date from the table.

use crate::node::Node;
use celerythread_model::fleet::Row as _;
use celerythread_model::id;
use celerythread_model::job::{Job, Stage};
use celerythread_model::table::{Row, Space};
use celerythread_model::unit::Revision;
use std::collections::BTreeMap;

/// All unsettled jobs and the cancelled ones, with the revisions of their rows.
#[derive(Default)]
pub(crate) struct JobCache {
    jobs: BTreeMap<id::Job, (Revision, Job)>,
    upto: Revision,
}

impl JobCache {
    /// Reads the changes since the last refresh.  Returns whether the table answered.
    pub(crate) async fn refresh(&mut self, node: &Node) -> bool {
        loop {
            let Ok(changes) = node.platform.table.changes(Space::Job, self.upto).await else {
                return false;
            };
            for row in &changes.rows {
                self.apply_row(row);
            }
            self.upto = changes.upto;
            if !changes.more {
                return true;
            }
        }
    }

    fn apply_row(&mut self, row: &Row) {
        let Some(Ok(name)) = row.key.strip_prefix(Job::PREFIX).map(str::parse::<id::Job>) else {
            return;
        };
        match row.decode::<Job>() {
            Some(job) => self.upsert(job, row.revision),
            None => {
                self.jobs.remove(&name);
            }
        }
    }

    /// Stores a row that this process has written or read, unless a newer one is known.
    pub(crate) fn upsert(&mut self, job: Job, revision: Revision) {
        let name = job.spec.job.clone();
        let known = self.jobs.get(&name).map_or(Revision(0), |(known, _)| *known);
        if revision <= known {
            return;
        }
        // A cancelled job is kept so that its task is stopped; other final jobs are settled.
        if job.stage.is_final() && job.stage != Stage::Cancelled {
            self.jobs.remove(&name);
        } else {
            self.jobs.insert(name, (revision, job));
        }
    }

    /// A job with its row's revision, if it is known.
    pub(crate) fn get(&self, name: &id::Job) -> Option<(Revision, &Job)> {
        self.jobs.get(name).map(|(revision, job)| (*revision, job))
    }

    /// Whether no job needs attention.
    pub(crate) fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Jobs that run.
    pub(crate) fn running(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values().map(|(_, job)| job).filter(|job| job.stage == Stage::Running)
    }

    /// Jobs that wait for a worker: urgent ones first, then by submission time.
    pub(crate) fn waiting(&self) -> Vec<(Revision, &Job)> {
        let waits = |stage| matches!(stage, Stage::Queued | Stage::Suspended);
        let mut waiting: Vec<(Revision, &Job)> = self
            .jobs
            .values()
            .filter(|(_, job)| waits(job.stage))
            .map(|(revision, job)| (*revision, job))
            .collect();
        waiting.sort_by_key(|(_, job)| (job.spec.class, job.submitted_at));
        waiting
    }
}
