//! The timeline merged over all processes, and how the command line reaches the entries.

use crate::cluster::{Cluster, Shape, wait_until};
use celerythread::client::Client;
use celerythread::plot;
use celerythread_model::event::{self, Event, Kind};
use celerythread_model::unit::Revision;
use serde_json::Value;
use std::fs;
use std::process::{Command, Stdio};

async fn merged_events(cluster: &Cluster) -> Vec<Event> {
    let mut events = Vec::new();
    for index in 0..cluster.entries.len() {
        let own = cluster.get(index, "/v1/timeline").await.unwrap();
        events.extend(serde_json::from_value::<Vec<Event>>(own).unwrap());
    }
    event::merge(events)
}

/// Guards against a timeline that shows a configuration in force before it was accepted, as it
/// would in order of wall clocks if one instance's clock is ahead.  The order must be causal.
#[async_std::test]
async fn the_merged_timeline_is_in_causal_order() {
    let cluster = Cluster::start(Shape { entries: 3, zones: 3, ..Shape::default() }).await;
    for number in 2..6 {
        let index = number as usize % 3;
        cluster
            .apply_config(index, &format!("c{number}"), Revision(number - 1), &format!("n{number}"))
            .await
            .unwrap();
        for entry in 0..3 {
            wait_until("in force", async || cluster.config_number(entry).await >= number).await;
        }
    }
    let events = merged_events(&cluster).await;
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
    let dots: Vec<plot::Dot> = events.iter().map(plot::Dot::from).collect();
    let picture = plot::svg(&dots).unwrap();
    assert!(picture.starts_with("<svg") && picture.contains("config-accepted"));
    cluster.stop().await;
}

/// An operator's command must succeed although one of the entries it was given can't be reached.
#[async_std::test]
async fn a_call_that_cannot_reach_one_entry_tries_the_next() {
    let cluster = Cluster::start(Shape::default()).await;
    let nobody = "127.0.0.1:1".parse().unwrap();
    let client = Client::new(&[nobody, cluster.entries[1].operators]).unwrap();
    let status: Value = client.get("/v1/status").await.unwrap();
    assert_eq!(status["config"], 1);
    cluster.stop().await;
}

/// On call, only log files are available.  The timeline must show the entries' events in order
/// of time over all files, without the thousands of lines about single jobs.
#[test]
fn a_timeline_is_built_from_log_files() {
    let line = |second: u32, message: &str, fields: &str| {
        format!(
            "{{\"timestamp\":\"2026-03-01T00:00:{second:02}Z\",\"message\":\"{message}\",\"kvs\":{{{fields}}}}}\n"
        )
    };
    let folder = std::env::temp_dir().join(format!("ct-logs-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let files = [
        ("a.log", line(3, "cell_lost", "\"cell\":\"s\"") + "no log line\n"),
        ("b.log", line(2, "cell_taken", "\"cell\":\"s\"") + &line(1, "job_known", "\"job\":\"j\"")),
    ];
    let paths = files.map(|(name, text)| {
        let path = folder.join(name);
        fs::write(&path, text).unwrap();
        path
    });
    let run = |flags: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_celerythread"));
        let output = command.arg("timeline").args(&paths).args(flags).output().unwrap();
        assert!(output.status.success(), "{output:?}");
        String::from_utf8(output.stdout).unwrap()
    };
    let text = run(&[]);
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 2, "{text}");
    assert!(lines[0].contains("b cell_taken cell=s") && lines[1].contains("a cell_lost cell=s"));
    assert_eq!(serde_json::from_str::<Value>(&run(&["--json"])).unwrap()[0]["source"], "b");
    let picture = run(&["--svg"]);
    assert!(picture.starts_with("<svg") && picture.contains("cell_taken"));
    fs::remove_dir_all(&folder).unwrap();
}

/// Guards against a panic of `celerythread timeline night.log | head` when the reader closes the
/// pipe.
#[test]
fn a_closed_output_pipe_is_not_a_failure() {
    let path = std::env::temp_dir().join(format!("ct-long-{}.log", std::process::id()));
    let line = "{\"timestamp\":\"2026-03-01T00:00:00Z\",\"message\":\"store_lost\",\"kvs\":{}}\n";
    // More than a pipe buffers.
    fs::write(&path, line.repeat(5000)).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_celerythread"))
        .arg("timeline")
        .arg(&path)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    drop(child.stdout.take());
    assert!(child.wait().unwrap().success());
    fs::remove_file(&path).unwrap();
}
