//! Resource use of an idle entry.

use super::*;

/// Anonymous resident memory of an idle entry.  The program's text isn't counted: a debug build
/// makes it several times larger.
const MAX_RESIDENT_KB: u64 = 20_000;

/// Time over which processor time is measured.
const CPU_SAMPLE_TIME: Duration = Duration::from_secs(5);

/// A field of a process's `stat`, counted from 1 as in proc(5).
fn stat(process: u32, field: usize) -> u64 {
    let text = fs::read_to_string(format!("/proc/{process}/stat")).unwrap();
    // The program's name may contain spaces; the fields after it don't.
    let (_, rest) = text.rsplit_once(") ").unwrap();
    rest.split(' ').nth(field - 3).unwrap().parse().unwrap()
}

/// Kilobytes of resident memory that no file backs.
fn resident_kb(process: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = text.lines().find(|line| line.starts_with("RssAnon:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Only memory is checked.  Processor time, which varies on a busy machine, is printed: with
/// renewals every 0.1 s, three times as many as by default.
#[async_std::test]
async fn an_idle_entry_uses_little_memory() {
    let deployment = Deployment::start("idle", 2, 2).await;
    let ticks = |entry: &Entry| stat(entry.child.id(), 14) + stat(entry.child.id(), 15);
    let before: Vec<u64> = deployment.entries.iter().map(ticks).collect();
    task::sleep(CPU_SAMPLE_TIME).await;
    for (entry, before) in deployment.entries.iter().zip(before) {
        let resident = resident_kb(entry.child.id());
        // A tick is a hundredth of a second.
        let percent = (ticks(entry) - before) as f64 / CPU_SAMPLE_TIME.as_secs_f64();
        println!("{resident} KB resident, {percent:.1} % of a core");
        assert!(resident < MAX_RESIDENT_KB, "{resident} KB resident");
    }
}
