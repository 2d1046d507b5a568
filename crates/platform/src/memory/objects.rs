//! The in-memory object store.

use crate::{Error, traits};
use async_trait::async_trait;
use parking_lot::Mutex;
use std::collections::HashMap;

/// An object store in memory.
#[derive(Default)]
pub struct Objects {
    bodies: Mutex<HashMap<String, Vec<u8>>>,
}

#[async_trait]
impl traits::Objects for Objects {
    async fn put(&self, name: &str, body: Vec<u8>) -> Result<(), Error> {
        self.bodies.lock().insert(name.into(), body);
        Ok(())
    }

    async fn get(&self, name: &str) -> Result<Option<Vec<u8>>, Error> {
        Ok(self.bodies.lock().get(name).cloned())
    }
}
