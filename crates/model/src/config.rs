//! An operator's configuration: a template with parameters, expanded and validated as a whole.
//!
//! The template is an INI file in which `${name}` stands for a parameter; the parameters are
//! the `[parameters]` section of a second INI file, one for each workspace.

mod template;

use crate::code::Code;
use crate::id;
use crate::ini::{Mistake, Reader};
use crate::unit::{Bytes, Millicores, Slots, Span};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

pub use template::expand;

/// Longest deadline that a caller may request and that a service may be configured with.
pub const MAX_DEADLINE: Span = Span::secs(3600);

/// A ratio between 0 and 1.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Ratio(pub f64);

impl fmt::Display for Ratio {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Ratio {
    type Err = std::num::ParseFloatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Ratio)
    }
}

/// A service and its pool of minions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub service: id::Service,
    /// Number of minions that its pool should have.
    pub minions: u32,
    /// Minimum number of minions in service at any time: the availability budget.
    pub floor: u32,
    /// Requests that a minion runs concurrently.
    pub slots: Slots,
    /// Concurrent connections that a minion accepts.
    pub connections: u32,
    /// Default deadline of a request.
    pub deadline: Span,
    /// Longest time without progress of a minion that works on a request.
    pub progress: Span,
    /// Requests that may be queued at one entry, per slot.
    pub queue_per_slot: u32,
    /// Share of requests that may be retried.
    pub retry_ratio: Ratio,
    /// Share of the slots guaranteed to patient work while urgent work waits.
    pub patient_share: Ratio,
    /// Largest request body.
    pub body_limit: Bytes,
    /// Whether patient minions of this pool may be lent elsewhere.
    pub lends: bool,
}

/// A team and its quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Team {
    /// Its name.
    pub team: id::Team,
    /// Limit on the processor time that its running jobs use in total.
    pub cpu: Millicores,
    /// Limit on the accelerators that its running jobs use in total.
    pub accelerators: u32,
    /// Limit on its requests in flight at one entry.
    pub requests: u32,
}

/// A recurring maintenance window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Window {
    /// Its name.
    pub name: String,
    /// Minutes after midnight, UTC, at which it opens.
    pub opens: u32,
    /// Minutes after midnight, UTC, at which it closes.
    pub closes: u32,
    /// The services it applies to; empty means all.
    pub services: Vec<id::Service>,
}

impl Window {
    /// Whether it is open at a time of day, in minutes after midnight, UTC.  A window that closes
    /// before it opens spans midnight.
    pub fn is_open(&self, minute: u32) -> bool {
        if self.opens <= self.closes {
            (self.opens..self.closes).contains(&minute)
        } else {
            minute >= self.opens || minute < self.closes
        }
    }
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Zone {
    /// Its name.
    pub zone: id::Zone,
    /// The region it is in.
    pub region: String,
}

/// A complete, validated configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// The workspace's name.
    pub workspace: String,
    /// Trade-off of a roll-out: 0 favours the smallest buffer, 1 the shortest duration.
    pub rollout_weight: Ratio,
    /// Expected time that a minion is unavailable for a reboot.
    pub reboot: Span,
    /// How long the answer to a request with an idempotency key is stored for repeats.
    pub claim_retention: Span,
    /// Availability zones.
    pub zones: BTreeMap<id::Zone, Zone>,
    /// Services.
    pub services: BTreeMap<id::Service, Service>,
    /// Teams.
    pub teams: BTreeMap<id::Team, Team>,
    /// Maintenance windows.
    pub windows: Vec<Window>,
}

impl Default for Document {
    fn default() -> Self {
        Document {
            workspace: "default".into(),
            rollout_weight: Ratio(0.5),
            reboot: Span::secs(120),
            claim_retention: Span::secs(24 * 3600),
            zones: BTreeMap::new(),
            services: BTreeMap::new(),
            teams: BTreeMap::new(),
            windows: Vec::new(),
        }
    }
}

impl Document {
    /// Parses and validates a template with its parameters.
    ///
    /// # Errors
    /// All mistakes of both files.
    pub fn read(template: &str, parameters: &str) -> Result<Self, Vec<Mistake>> {
        let (text, mut mistakes) = expand(template, parameters);
        let mut reader = Reader::new(&text);
        let document = read_document(&mut reader);
        mistakes.extend(reader.finish(is_known_section));
        if mistakes.is_empty() { Ok(document) } else { Err(mistakes) }
    }
}

/// Kinds of sections whose header includes a name, such as `[service intake]`.
const NAMED_SECTIONS: [&str; 4] = ["zone", "service", "team", "window"];

fn is_known_section(section: &str) -> bool {
    let word = section.split_once(' ').map(|(word, _)| word);
    section == "workspace" || word.is_some_and(|word| NAMED_SECTIONS.contains(&word))
}

fn read_document(reader: &mut Reader) -> Document {
    let defaults = Document::default();
    let mut document = Document {
        workspace: reader.value("workspace", "name", defaults.workspace),
        rollout_weight: unit_ratio(reader, "workspace", "rollout_weight", defaults.rollout_weight),
        reboot: reader.value("workspace", "reboot", defaults.reboot),
        claim_retention: reader.ranged(
            "workspace",
            "claim_retention",
            defaults.claim_retention,
            Span::secs(1),
            Span::secs(30 * 24 * 3600),
        ),
        ..Document::default()
    };
    for section in reader.sections() {
        let Some((word, name)) = section.split_once(' ') else { continue };
        match word {
            "zone" => read_zone(reader, &section, name, &mut document),
            "service" => read_service(reader, &section, name, &mut document),
            "team" => read_team(reader, &section, name, &mut document),
            "window" => read_window(reader, &section, name, &mut document),
            _ => {}
        }
    }
    check_windows(reader, &document);
    document
}

/// The id in a section's header; adds a mistake if it is not a valid id.
fn section_id<T: FromStr>(reader: &mut Reader, section: &str, name: &str) -> Option<T>
where
    T::Err: fmt::Display,
{
    match name.trim().parse() {
        Ok(id) => Some(id),
        Err(error) => {
            reader.add_mistake(Code::BadValue, section, "", error.to_string());
            None
        }
    }
}

fn unit_ratio(reader: &mut Reader, section: &str, key: &str, default: Ratio) -> Ratio {
    reader.ranged(section, key, default, Ratio(0.0), Ratio(1.0))
}

fn read_zone(reader: &mut Reader, section: &str, name: &str, document: &mut Document) {
    let region = reader.value(section, "region", String::from("main"));
    if let Some(zone) = section_id::<id::Zone>(reader, section, name) {
        document.zones.insert(zone.clone(), Zone { zone, region });
    }
}

fn read_service(reader: &mut Reader, section: &str, name: &str, document: &mut Document) {
    let minions = reader.required(section, "minions").unwrap_or(1);
    let floor = reader.required(section, "floor").unwrap_or(0);
    if floor > minions {
        let text = format!("floor {floor} is above minions {minions}");
        reader.add_mistake(Code::Contradiction, section, "floor", text);
    }
    let slots = reader.ranged(section, "slots", Slots(8), Slots(1), Slots(10_000));
    let connections = reader.ranged(section, "connections", 64, 1, 100_000);
    if connections < slots.0 {
        let text = format!("connections {connections} are fewer than slots {slots}");
        reader.add_mistake(Code::Contradiction, section, "connections", text);
    }
    let longest = MAX_DEADLINE;
    let deadline = reader.ranged(section, "deadline", Span::secs(30), Span::millis(1), longest);
    let progress = reader.ranged(section, "progress", Span::secs(10), Span::millis(50), longest);
    let queue_per_slot = reader.ranged(section, "queue_per_slot", 8, 1, 1000);
    let retry_ratio = unit_ratio(reader, section, "retry_ratio", Ratio(0.1));
    let patient_share = unit_ratio(reader, section, "patient_share", Ratio(0.125));
    let body_limit =
        reader.ranged(section, "body_limit", Bytes::mebi(8), Bytes(1), Bytes::mebi(64));
    let lends = reader.value(section, "lends", false);
    let Some(service) = section_id::<id::Service>(reader, section, name) else { return };
    let entry = Service {
        service: service.clone(),
        minions,
        floor,
        slots,
        connections,
        deadline,
        progress,
        queue_per_slot,
        retry_ratio,
        patient_share,
        body_limit,
        lends,
    };
    document.services.insert(service, entry);
}

fn read_team(reader: &mut Reader, section: &str, name: &str, document: &mut Document) {
    let cpu = reader.value(section, "cpu", Millicores(u32::MAX));
    let accelerators = reader.value(section, "accelerators", u32::MAX);
    let requests = reader.ranged(section, "requests", u32::MAX, 1, u32::MAX);
    if let Some(team) = section_id::<id::Team>(reader, section, name) {
        document.teams.insert(team.clone(), Team { team, cpu, accelerators, requests });
    }
}

fn read_window(reader: &mut Reader, section: &str, name: &str, document: &mut Document) {
    let opens = time_of_day(reader, section, "opens");
    let closes = time_of_day(reader, section, "closes");
    let services = reader.list(section, "services");
    document.windows.push(Window { name: name.trim().into(), opens, closes, services });
}

/// Reads a time of day such as `22:30`, as minutes after midnight.
fn time_of_day(reader: &mut Reader, section: &str, key: &str) -> u32 {
    let Some(text) = reader.required::<String>(section, key) else { return 0 };
    let number = |text: &str| text.parse::<u32>().ok();
    let parts = text.split_once(':').and_then(|(h, m)| Some((number(h)?, number(m)?)));
    match parts {
        Some((hour, minute)) if hour < 24 && minute < 60 => hour * 60 + minute,
        _ => {
            reader.add_mistake(
                Code::BadValue,
                section,
                key,
                format!("{text:?} is not a time like 22:30"),
            );
            0
        }
    }
}

fn check_windows(reader: &mut Reader, document: &Document) {
    for window in &document.windows {
        for service in &window.services {
            if !document.services.contains_key(service) {
                let section = format!("window {}", window.name);
                let text = format!("service {service} is not configured");
                reader.add_mistake(Code::Contradiction, &section, "services", text);
            }
        }
    }
}
