//! An entry's view of the fleet: rows with revisions, none of which ever goes back.

use celerythread_model::config::Document;
use celerythread_model::fleet::{self, Row as _};
use celerythread_model::id;
use celerythread_model::table::Row;
use celerythread_model::unit::Revision;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// The latest known revision of each row, and what is derived from the rows.
#[derive(Clone, Debug, Default)]
pub struct View {
    rows: HashMap<String, Row>,
    upto: Revision,
    entries: BTreeMap<id::Entry, fleet::Registration>,
    minions: BTreeMap<id::Minion, fleet::Minion>,
    pools: BTreeMap<id::Service, Vec<id::Minion>>,
    owners: BTreeMap<id::Minion, fleet::Ownership>,
    waves: BTreeMap<id::Wave, fleet::Wave>,
    disruptions: BTreeMap<id::Service, fleet::Disruption>,
    config: Option<Arc<fleet::Config>>,
    document: Arc<Document>,
}

/// What changed with a batch of rows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Changed {
    /// The configuration changed.
    pub config: bool,
    /// A minion, an ownership or an entry changed.
    pub fleet: bool,
}

impl View {
    /// Applies rows to the view.
    ///
    /// Rows come from the table and, during an outage, from peers.  They may be late, duplicated
    /// and out of order.  A row whose revision isn't above the known one is ignored, so that an
    /// entry never acts on a configuration or pool older than the one it has used before.
    pub fn apply(&mut self, rows: &[Row], upto: Revision) -> Changed {
        let mut changed = Changed::default();
        for row in rows {
            let known = self.rows.get(&row.key).map_or(Revision(0), |known| known.revision);
            if row.revision <= known {
                continue;
            }
            self.rows.insert(row.key.clone(), row.clone());
            self.index(row, &mut changed);
        }
        self.upto = self.upto.max(upto);
        if changed.fleet {
            self.index_pools();
        }
        changed
    }

    fn index(&mut self, row: &Row, changed: &mut Changed) {
        if row.key == fleet::CONFIG_KEY {
            changed.config |= self.index_config(row);
            return;
        }
        changed.fleet |= apply_row(&mut self.entries, row, fleet::Registration::PREFIX)
            || apply_row(&mut self.minions, row, fleet::Minion::PREFIX)
            || apply_row(&mut self.owners, row, fleet::Ownership::PREFIX);
        apply_row(&mut self.waves, row, fleet::Wave::PREFIX);
        apply_row(&mut self.disruptions, row, fleet::Disruption::PREFIX);
    }

    /// Applies the configuration.  One that can't be read was never accepted by an entry of this
    /// version; the configuration in force stays.
    fn index_config(&mut self, row: &Row) -> bool {
        let Some(config) = row.decode::<fleet::Config>() else { return false };
        let Ok(document) = Document::read(&config.template, &config.parameters) else {
            return false;
        };
        self.config = Some(Arc::new(config));
        self.document = Arc::new(document);
        true
    }

    fn index_pools(&mut self) {
        self.pools.clear();
        for minion in self.minions.values() {
            self.pools.entry(minion.pool.clone()).or_default().push(minion.minion.clone());
        }
    }

    /// The revision up to which the view is complete.
    pub fn upto(&self) -> Revision {
        self.upto
    }

    /// Every row changed after `since`, including deleted ones, to relay to a peer.
    pub fn rows_since(&self, since: Revision) -> Vec<Row> {
        let mut rows: Vec<Row> =
            self.rows.values().filter(|row| row.revision > since).cloned().collect();
        rows.sort_by_key(|row| row.revision);
        rows
    }

    /// The revision of a row for the condition of a transaction; zero if there is no such row.
    pub fn revision(&self, key: &str) -> Revision {
        match self.rows.get(key) {
            Some(row) if row.value.is_some() => row.revision,
            _ => Revision(0),
        }
    }

    /// Registered entries.
    pub fn entries(&self) -> &BTreeMap<id::Entry, fleet::Registration> {
        &self.entries
    }

    /// Minions.
    pub fn minions(&self) -> &BTreeMap<id::Minion, fleet::Minion> {
        &self.minions
    }

    /// The minions of a pool.
    pub fn pool(&self, service: &id::Service) -> impl Iterator<Item = &fleet::Minion> {
        let names = self.pools.get(service).map(Vec::as_slice).unwrap_or_default();
        names.iter().filter_map(|name| self.minions.get(name))
    }

    /// The ownership of each minion.
    pub fn owners(&self) -> &BTreeMap<id::Minion, fleet::Ownership> {
        &self.owners
    }

    /// All waves, including finished ones.
    pub fn waves(&self) -> &BTreeMap<id::Wave, fleet::Wave> {
        &self.waves
    }

    /// The minions of a service that are taken out on purpose.
    pub fn disruption(&self, service: &id::Service) -> fleet::Disruption {
        self.disruptions.get(service).cloned().unwrap_or_default()
    }

    /// The configuration in force; none before the first.
    pub fn config(&self) -> Option<&Arc<fleet::Config>> {
        self.config.as_ref()
    }

    /// The number of the configuration in force; zero before the first.
    pub fn config_number(&self) -> Revision {
        self.config.as_ref().map_or(Revision(0), |config| config.number)
    }

    /// The parsed configuration in force.
    pub fn document(&self) -> &Arc<Document> {
        &self.document
    }
}

/// Applies a row to the map if its key has the prefix.  Returns whether it has.
fn apply_row<K, R>(map: &mut BTreeMap<K, R>, row: &Row, prefix: &str) -> bool
where
    K: Ord + std::str::FromStr,
    R: fleet::Row,
{
    let Some(name) = row.key.strip_prefix(prefix) else { return false };
    let Ok(id) = name.parse() else { return false };
    match row.decode() {
        Some(value) => {
            map.insert(id, value);
        }
        None => {
            map.remove(&id);
        }
    }
    true
}
