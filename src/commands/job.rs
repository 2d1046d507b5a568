//! `celerythread job`: submit, list and cancel.

use super::{new_name, parsed};
use crate::Error;
use crate::client::Client;
use crate::output;
use celerythread_model::job::Size;
use celerythread_model::request::Class;
use serde_json::{Value, json};
use std::ffi::OsString;

mod flags {
    #![allow(missing_docs, unreachable_pub, reason = "generated")]

    use celerythread_model::unit::{Accelerators, Bytes, Millicores, Span};
    use std::net::SocketAddr;

    xflags::xflags! {
        /// Submits, lists and cancels jobs on workers.
        cmd celerythread-job {
            /// An entry to ask; may be given several times.
            repeated --entry address: SocketAddr
            /// Prints JSON.
            optional --json

            /// Submits a job.
            ///
            /// Example: celerythread job submit --team audits --kind year-end --cpu 4000 --memory 8GiB
            cmd submit {
                /// The job's name; repeat a submission whose response was lost under the same name.
                optional --name name: String
                /// The team whose quota it counts against.
                required --team name: String
                /// The kind of work; resource use and duration are estimated per kind.
                required --kind name: String
                /// Millicores.
                optional --cpu count: Millicores
                /// Memory.
                optional --memory size: Bytes
                /// Accelerators.
                optional --accelerators count: Accelerators
                /// The expected run time.
                optional --duration span: Span
                /// May wait and be preempted by urgent work.
                optional --patient
                /// Must run at most once.
                optional --once
            }
            /// Lists the jobs.
            ///
            /// Example: celerythread job list
            cmd list {}
            /// Cancels jobs.
            ///
            /// Example: celerythread job cancel audit-1 audit-2
            cmd cancel {
                /// The jobs.
                repeated job: String
            }
        }
    }
}

use flags::{CelerythreadJob, CelerythreadJobCmd, Submit};

pub(crate) async fn run(arguments: Vec<OsString>) -> Result<(), Error> {
    let flags = parsed(CelerythreadJob::from_vec(arguments))?;
    let client = Client::new(&flags.entry)?;
    match flags.subcommand {
        CelerythreadJobCmd::Submit(command) => {
            let job: Value = client.post("/v1/jobs", &spec(command)).await?;
            output::record(flags.json, &job);
        }
        CelerythreadJobCmd::List(_) => {
            let jobs: Value = client.get("/v1/jobs").await?;
            let jobs = if flags.json { jobs } else { flatten(jobs) };
            let fields = ["job", "team", "class", "stage", "worker", "attempts", "reason"];
            output::list(flags.json, &jobs, &fields);
        }
        CelerythreadJobCmd::Cancel(command) => {
            let done: Value =
                client.post("/v1/jobs/cancel", &json!({ "jobs": command.job })).await?;
            output::record(flags.json, &done);
        }
    }
    Ok(())
}

fn spec(command: Submit) -> Value {
    let size = Size {
        cpu: command.cpu.unwrap_or_default(),
        memory: command.memory.unwrap_or_default(),
        accelerators: command.accelerators.unwrap_or_default(),
    };
    json!({
        "job": command.name.unwrap_or_else(|| new_name("job")),
        "team": command.team,
        "class": if command.patient { Class::Patient } else { Class::Urgent },
        "idempotence": if command.once { "NonIdempotent" } else { "Idempotent" },
        "size": size,
        "duration": command.duration.unwrap_or_default(),
        "kind": command.kind,
    })
}

/// Merges the fields of each job's `spec` into the job itself, for a table.
fn flatten(jobs: Value) -> Value {
    let merge = |mut job: Value| {
        let spec = job["spec"].take();
        for (key, value) in spec.as_object().into_iter().flatten() {
            job[key] = value.clone();
        }
        job
    };
    jobs.as_array().cloned().unwrap_or_default().into_iter().map(merge).collect()
}
