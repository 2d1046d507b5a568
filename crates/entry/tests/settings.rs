//! Reading of the settings file.

use celerythread_entry::Settings;
use celerythread_entry::metrics::{Counter, Metrics};
use celerythread_model::code::Code;
use proptest::prelude::*;
use std::net::UdpSocket;
use std::time::Duration;

const GOOD: &str = "\
[instance]
name = e1
zone = z
[caller]
listen = 127.0.0.1:0
[operator]
listen = 127.0.0.1:0
[peer]
listen = 127.0.0.1:0
authority = a
certificate = b
key = c
[platform]
addresses = 127.0.0.1:1, 127.0.0.1:2
";

#[test]
fn required_keys_are_enough() {
    let settings = Settings::read(GOOD).unwrap();
    assert_eq!(settings.platform.addresses.len(), 2);
    assert_eq!(settings.poll_interval, Settings::default().poll_interval);
}

#[test]
fn contradicting_settings_are_reported() {
    let text = format!("{GOOD}poll = 5s\n[lease]\nterm = 10s\n");
    let mistakes = Settings::read(&text).unwrap_err();
    assert_eq!(mistakes.len(), 1, "{mistakes:?}");
    assert_eq!((mistakes[0].code, mistakes[0].line), (Code::Contradiction, 17));
}

/// Counters reach the configured address in statsd's text format.
#[test]
fn counters_are_sent_by_statsd() {
    let receiver = UdpSocket::bind("127.0.0.1:0").unwrap();
    receiver.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let settings = Settings { statsd: Some(receiver.local_addr().unwrap()), ..Settings::default() };
    let metrics = Metrics::new(&settings);
    metrics.add(Counter::Requests, 3);
    metrics.send();
    let mut bytes = [0; 512];
    let count = receiver.recv(&mut bytes).unwrap();
    assert_eq!(std::str::from_utf8(&bytes[..count]).unwrap(), "celerythread.requests:3|c");
    assert!(metrics.page().contains("requests 3\n"));
}

proptest! {
    #[test]
    fn no_text_panics(text in "\\PC{0,300}") {
        let _ = Settings::read(&text);
    }

    /// The reader does not panic on any value of any key.
    #[test]
    fn no_value_of_any_key_panics(value in "[ -~]{0,20}", line in 0usize..13) {
        let text: Vec<String> = GOOD
            .lines()
            .enumerate()
            .map(|(n, old)| match old.split_once(" = ") {
                Some((key, _)) if n == line => format!("{key} = {value}"),
                _ => old.to_owned(),
            })
            .collect();
        let _ = Settings::read(&text.join("\n"));
    }
}
