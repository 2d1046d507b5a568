//! The pages on the daemon for the users' platform match its settings, metrics and tests.

use celerythread_engine::cell::FailureReason;
use celerythread_engine::cell::capacity::{Capacity, Usability, WaitReason};
use celerythread_engine::timeout::Settings as OrderTimeout;
use celerythread_model::code::Code;
use celerythread_model::ini::Mistake;
use celerythread_scheduler::metrics::{Counter, Metrics, Timing};
use celerythread_scheduler::{Daemon, Settings};
use std::fs;
use std::time::Duration;
use strum::VariantArray;

fn read_page(path: &str) -> String {
    fs::read_to_string(format!("{}/{path}", env!("CARGO_MANIFEST_DIR"))).unwrap()
}

fn unknown_keys(mistakes: &[Mistake]) -> Vec<String> {
    let wrong = |m: &&Mistake| matches!(m.code, Code::UnknownKey | Code::UnknownSection);
    mistakes.iter().filter(wrong).map(ToString::to_string).collect()
}

/// Section and key of each row of the settings page.
fn documented_keys() -> Vec<(String, String)> {
    let page = read_page("docs/SETTINGS-PLATFORM.md");
    let rows = page.lines().filter(|line| line.starts_with("| `"));
    rows.map(|row| {
        let mut cells = row.split('|').skip(1).map(|cell| cell.trim().trim_matches('`').to_owned());
        (cells.next().unwrap(), cells.next().unwrap())
    })
    .collect()
}

#[test]
fn the_platforms_settings_page_has_exactly_the_keys() {
    let keys = documented_keys();
    let mut nonsense = String::new();
    let mut section = String::new();
    for (of, key) in &keys {
        if *of != section {
            nonsense.push_str(&format!("[{of}]\n"));
            section = of.clone();
        }
        nonsense.push_str(&format!("{key} = ?\n"));
    }
    let mistakes = Settings::read(&nonsense).unwrap_err();
    assert_eq!(unknown_keys(&mistakes), Vec::<String>::new(), "documented, but not a key");
    let source = include_str!("../../crates/scheduler/src/settings.rs");
    let flat: String = source.split_whitespace().collect();
    for (section, key) in &keys {
        assert!(flat.contains(&format!("\"{section}\",\"{key}\"")), "[{section}] {key}");
    }
    let asked = flat.matches("reader.required(").count()
        + flat.matches("reader.value(").count()
        + flat.matches("reader.optional(").count();
    assert_eq!(asked, keys.len(), "a key is read and not documented");
}

/// The deploy template, filled with values as the platform gives them, is a valid settings file.
#[test]
fn the_deploy_template_gives_valid_settings() {
    let mut text = read_page("deploy/entry.ini");
    let values = [
        ("{{nodeName}}", "edge-1"),
        ("{{zone}}", "med-a"),
        ("{{listenAddrs.frontend}}", "10.1.0.9:8624"),
        ("{{listenAddrs.readiness}}", "10.1.0.9:8622"),
        ("{{limits.cpuShare}}", "0.25"),
        ("{{#limits.memoryMb}}memory = {{.}}MiB{{/limits.memoryMb}}", "memory = 260MiB"),
        ("{{#limits.maxFds}}descriptors = {{.}}{{/limits.maxFds}}", "descriptors = 4100"),
        ("{{#platform.rowBytes}}row_bytes = {{.}}{{/platform.rowBytes}}", "row_bytes = 65536"),
        ("{{ip}}", "10.1.0.9"),
        ("{{internalPorts.0}}", "7060"),
        ("{{platform.address}}", "10.200.1.7:8621"),
        ("{{#cloudApi.address}}machines = {{.}}{{/cloudApi.address}}", "machines = 10.200.0.1:1"),
        ("{{#advice}}advice = {{.}}{{/advice}}", "advice = 10.200.0.2:1"),
        ("{{bounds.status_s}}", "120"),
        ("{{#bounds.contactMs}}contact = {{.}}ms{{/bounds.contactMs}}", "contact = 6000ms"),
        ("{{bounds.stopTimeoutMs}}", "900"),
        ("{{#bounds.cancel_ms}}cancel_within = {{.}}ms{{/bounds.cancel_ms}}", "cancel_within = 4s"),
        ("{{#bounds.holdMaxMs}}lease_limit = {{.}}ms{{/bounds.holdMaxMs}}", "lease_limit = 6000ms"),
        (
            "{{#bounds.quotaWindowS}}workspace_shares = true{{/bounds.quotaWindowS}}",
            "workspace_shares = true",
        ),
        ("{{bounds.leaseMs}}", "3000"),
        ("{{bounds.upkeepS}}", "2.5"),
        (
            "{{#cloudApi.dutyPerS}}orders_per_s = {{.}}{{/cloudApi.dutyPerS}}",
            "orders_per_s = 590.0",
        ),
        ("{{bounds.graceS}}", "6"),
        (
            "{{#bounds.strictRevocation}}strict_keys = true{{/bounds.strictRevocation}}",
            "strict_keys = true",
        ),
        (
            "{{#bounds.revokeMs}}trust_keys_for = {{.}}ms{{/bounds.revokeMs}}",
            "trust_keys_for = 4500ms",
        ),
    ];
    for (placeholder, value) in values {
        assert!(text.contains(placeholder), "{placeholder}");
        text = text.replace(placeholder, value);
    }
    assert!(!text.contains("{{"), "{text}");
    let settings = Settings::read(&text).unwrap();
    assert_eq!(settings.peer_listen.to_string(), "10.1.0.9:7060");
    assert_eq!(settings.maintenance_duration.0.as_millis(), 2500);
    assert_eq!(settings.orders_per_s, 590.0);
    assert_eq!(settings.order_alone.0.as_millis(), 10_000);
    assert_eq!(settings.memory.to_string(), "260MiB");
    assert_eq!(settings.descriptors, 4100);
    assert_eq!(settings.contact.0.as_millis(), 6000);
    assert_eq!(settings.cancel_within.0.as_millis(), 4000);
    assert_eq!(settings.lease_limit.0.as_millis(), 6000);
    assert_eq!(settings.trust_keys_for.0.as_millis(), 4500);
    assert!(settings.strict_keys && settings.workspace_shares);
    assert!(settings.share_by_urgency && settings.expect_equal_peaks);
    assert!(settings.advice.is_some() && settings.machines.is_some());
}

#[test]
fn all_mistakes_in_the_settings_are_reported_at_once() {
    let text = "[instance]\nname = a\n[peer]\nlisten = here\nrenew = 1s\ntakeover_after = 2s\n\
                [run]\nlease = 1s\n[other]\nkey = 1\n";
    let mistakes = Settings::read(text).unwrap_err();
    for expected in ["zone", "listen", "store", "takeover_after", "lease", "other"] {
        let reported = mistakes.iter().any(|m| m.key == expected || m.section == expected);
        assert!(reported, "{expected} is not among {mistakes:?}");
    }
}

/// Guards against an unreadable value of `workspace_shares` that counts as a valid one.
#[test]
fn workspace_shares_are_off_unless_set() {
    let required = "[instance]\nname = a\nzone = b\n[caller]\nlisten = 127.0.0.1:1\n[peer]\n\
                    listen = 127.0.0.1:2\n[platform]\nstore = 127.0.0.1:3\n";
    let read = |run: &str| Settings::read(&format!("{required}{run}"));
    assert!(!read("").unwrap().workspace_shares);
    assert!(!read("[run]\nworkspace_shares = false\n").unwrap().workspace_shares);
    assert!(read("[run]\nworkspace_shares = true\n").unwrap().workspace_shares);
    let mistakes = read("[run]\nworkspace_shares = yes\n").unwrap_err();
    assert_eq!(mistakes.len(), 1);
    assert_eq!((&*mistakes[0].section, &*mistakes[0].key), ("run", "workspace_shares"));
    let text = format!("{:?}", mistakes[0]);
    assert!(text.contains("`true` or `false`"), "{text}");
}

/// Guards against a time to act on cancellations in which a start with the oldest permitted view of the
/// jobs isn't sent: by its owner in an order's timeout, and by a delegate in another one.
#[test]
fn starts_with_the_oldest_view_are_sent_within_the_time_to_act_on_cancellations() {
    let read = |cancel_within: u64| {
        Settings::read(&format!(
            "[instance]\nname = a\nzone = b\n[caller]\nlisten = 127.0.0.1:1\n\
             [peer]\nlisten = 127.0.0.1:2\n[platform]\nstore = 127.0.0.1:3\n\
             [run]\ncancel_within = {cancel_within}ms\n"
        ))
    };
    let max_delay = OrderTimeout::ORDER.max * 2;
    for cancel_within in (0..10_000).step_by(100) {
        match read(cancel_within) {
            Ok(settings) => {
                let latest = settings.max_jobs_age() + max_delay;
                assert!(latest <= settings.cancel_within.0, "{cancel_within} ms: {latest:?}");
                assert!(!settings.max_jobs_age().is_zero(), "{cancel_within} ms");
            }
            Err(mistakes) => {
                assert!(Duration::from_millis(cancel_within) <= max_delay, "{mistakes:?}");
                assert!(mistakes.iter().all(|mistake| mistake.key == "cancel_within"));
            }
        }
    }
}

/// Guards against orders without the store that nobody asked for, or that go on for as long as an
/// outage lasts.
#[test]
fn orders_without_the_store_are_off_by_default_and_bounded() {
    let text = |order_alone: &str| {
        format!(
            "[instance]\nname = a\nzone = b\n[caller]\nlisten = 127.0.0.1:1\n\
             [peer]\nlisten = 127.0.0.1:2\n[platform]\nstore = 127.0.0.1:3\n\
             [maintenance]\n{order_alone}\n"
        )
    };
    assert!(Settings::read(&text("")).unwrap().order_alone.0.is_zero());
    assert!(Settings::read(&text("order_alone = 60s")).is_ok());
    for wrong in ["order_alone = 61s", "order_alone = -1s", "order_alone = 10"] {
        let mistakes = Settings::read(&text(wrong)).unwrap_err();
        assert!(mistakes.iter().all(|mistake| mistake.key == "order_alone"), "{mistakes:?}");
    }
    let mistakes = Settings::read(&text("order_alone = 61s")).unwrap_err();
    assert!(mistakes[0].to_string().contains("0s to 60s"), "{mistakes:?}");
}

#[test]
fn every_counter_and_histogram_of_the_scheduler_is_explained() {
    let page = read_page("docs/OPERATIONS.md");
    for counter in Counter::VARIANTS {
        assert!(page.contains(&format!("`{counter}`")), "{counter}");
    }
    for timing in Timing::VARIANTS {
        assert!(page.contains(&format!("`{timing}`")), "{timing}");
    }
}

/// Every test named on a page of docs/incidents exists.
#[test]
fn the_tests_that_incidents_name_exist() {
    let root = env!("CARGO_MANIFEST_DIR");
    let mut sources = String::new();
    const FOLDERS: [&str; 6] = [
        "tests/all",
        "tests/all/site",
        "tests/crowds",
        "crates/engine/tests/all",
        "crates/http/tests",
        "crates/policy/tests",
    ];
    for folder in FOLDERS {
        let files = fs::read_dir(format!("{root}/{folder}")).unwrap();
        let files = files.map(|file| file.unwrap().path()).filter(|path| path.is_file());
        files.for_each(|path| sources.push_str(&fs::read_to_string(path).unwrap()));
    }
    for file in fs::read_dir(format!("{root}/docs/incidents")).unwrap() {
        let text = fs::read_to_string(file.unwrap().path()).unwrap();
        let Some((_, tests)) = text.split_once("**Test") else { continue };
        let names = tests.split('`').skip(1).step_by(2).filter(|name| name.contains('_'));
        for name in names {
            let name = name.rsplit("::").next().unwrap();
            assert!(sources.contains(&format!("fn {name}()")), "{name}");
        }
    }
}

/// The metrics address serves every counter in text form.
#[async_std::test]
async fn the_metrics_address_serves_all_figures() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let settings = Settings { metrics_listen: Some(address), ..Settings::default() };
    let _daemon = Daemon::start(settings).await.unwrap();
    let request =
        celerythread_http::client::request(http_types::Method::Get, address, "/metrics").unwrap();
    let wait = std::time::Duration::from_secs(5);
    let answer = celerythread_http::client::fetch(address, request, wait, 1 << 20).await.unwrap();
    let text = String::from_utf8(answer.1).unwrap();
    for counter in Counter::VARIANTS {
        assert!(text.contains(&format!("celerythread_{counter}_total ")), "{counter}");
    }
}

/// Guards against failed jobs that operators can't tell apart on the metrics page by why they failed,
/// or by a reason that isn't explained.
#[test]
fn failed_jobs_are_counted_by_reason() {
    let metrics = Metrics::default();
    metrics.count_failure(FailureReason::Crash);
    metrics.count_failure(FailureReason::Crash);
    metrics.count_failure(FailureReason::Attempts);
    let page = metrics.page();
    let operations = read_page("docs/OPERATIONS.md");
    assert!(operations.contains("`jobs_failed`"));
    for reason in FailureReason::VARIANTS {
        let count = match reason {
            FailureReason::Crash => 2,
            FailureReason::Attempts => 1,
            _ => 0,
        };
        let line = format!("celerythread_jobs_failed_total{{reason=\"{reason}\"}} {count}");
        assert!(page.lines().any(|other| other == line), "{line}: {page}");
        assert!(operations.contains(&format!("| `{reason}` |")), "{reason}");
    }
}

fn with_minions(minions: u64) -> Capacity {
    let mut capacity = Capacity::default();
    capacity.minions = minions;
    capacity
}

/// Lines of the metrics page on the capacity of cells.
fn capacity_lines(metrics: &Metrics) -> Vec<String> {
    let page = metrics.page();
    let lines = page.lines().filter(|line| line.starts_with("celerythread_capacity"));
    lines.map(Into::into).collect()
}

/// Guards against a service whose name has letters with a meaning in the text format: a line feed
/// would add a line to the page, and a quote make all of it unreadable.
#[test]
fn service_names_are_escaped_on_the_metrics_page() {
    let metrics = Metrics::default();
    metrics.set_capacity("a\"b\\c\nd", 1, with_minions(3));
    let lines = capacity_lines(&metrics);
    assert_eq!(lines[0], r#"celerythread_capacity_minions{service="a\"b\\c\nd"} 3"#);
    assert!(lines.iter().all(|line| line.contains(r#"{service="a\"b\\c\nd""#)), "{lines:?}");
}

/// Guards against gauges that are left of a cell that the entry no longer owns, and against a late
/// call of a former owner that replaces or removes those of the current one.
#[test]
fn gauges_belong_to_the_current_owner_of_a_cell() {
    let metrics = Metrics::default();
    metrics.set_capacity("desk", 7, with_minions(1));
    metrics.set_capacity("hall", 5, with_minions(9));
    metrics.set_capacity("desk", 8, with_minions(2));
    metrics.set_capacity("desk", 7, with_minions(3));
    metrics.remove_capacity("desk", 7);
    let first = |service: &str| {
        let name = format!("celerythread_capacity_minions{{service=\"{service}\"}} ");
        capacity_lines(&metrics).iter().find_map(|line| Some(line.strip_prefix(&name)?.to_owned()))
    };
    assert_eq!(first("desk").as_deref(), Some("2"));
    metrics.remove_capacity("desk", 8);
    assert_eq!(first("desk"), None);
    assert_eq!(first("hall").as_deref(), Some("9"));
}

#[test]
fn every_gauge_and_field_of_the_capacity_report_is_explained() {
    let page = read_page("docs/OPERATIONS.md");
    let metrics = Metrics::default();
    metrics.set_capacity("desk", 1, Capacity::default());
    for line in capacity_lines(&metrics) {
        let name = line.split('{').next().unwrap();
        assert!(page.contains(&format!("`{name}`")), "{name}");
    }
    for usability in Usability::VARIANTS {
        assert!(page.contains(&format!("`{usability}`")), "{usability}");
    }
    for reason in WaitReason::VARIANTS {
        assert!(page.contains(&format!("`{reason}`")), "{reason}");
    }
}
