//! What an entry knows of the fleet: rows with revisions, none of which ever goes back.

use celerythread_model::config::Document;
use celerythread_model::fleet::{self, Row as _};
use celerythread_model::id;
use celerythread_model::table::Row;
use celerythread_model::unit::Revision;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// The view.
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
    /// The configuration did.
    pub config: bool,
    /// A minion, an owner or an entry did.
    pub fleet: bool,
}

impl View {
    /// Takes rows in.
    ///
    /// Rows come from the table and, in an outage, from peers; they may be late, doubled and
    /// out of order.  A row with a revision not above the held one is ignored: that is why no
    /// entry ever acts by an older configuration or pool than it did before.
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

    /// A configuration that cannot be read was never accepted by any entry of this version; the
    /// one in force stays in force.
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

    /// Every row changed after `since`, deleted ones too, for a peer.
    pub fn rows_since(&self, since: Revision) -> Vec<Row> {
        let mut rows: Vec<Row> =
            self.rows.values().filter(|row| row.revision > since).cloned().collect();
        rows.sort_by_key(|row| row.revision);
        rows
    }

    /// The revision of a row, as a transaction's condition wants it.
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

    /// Who hands out which minion's slots.
    pub fn owners(&self) -> &BTreeMap<id::Minion, fleet::Ownership> {
        &self.owners
    }

    /// Waves, settled ones too.
    pub fn waves(&self) -> &BTreeMap<id::Wave, fleet::Wave> {
        &self.waves
    }

    /// What of a service is out by intent.
    pub fn disruption(&self, service: &id::Service) -> fleet::Disruption {
        self.disruptions.get(service).cloned().unwrap_or_default()
    }

    /// The configuration in force; none before the first.
    pub fn config(&self) -> Option<&Arc<fleet::Config>> {
        self.config.as_ref()
    }

    /// The number of the configuration in force; nought before the first.
    pub fn config_number(&self) -> Revision {
        self.config.as_ref().map_or(Revision(0), |config| config.number)
    }

    /// The configuration in force, read.
    pub fn document(&self) -> &Arc<Document> {
        &self.document
    }
}

/// Takes a row into its map when its key has the prefix; tells whether it has.
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
