//! Minions in the order of their free processor capacity, for the placements of one plan.

use crate::cell::minion::{Minion, MinionId};
use crate::job::Resources;
use crate::ownership;
use smallvec::SmallVec;
use std::cmp::Ordering;

/// Depth of a search that needs no allocation.
const INLINE_DEPTH: usize = 32;

/// What each minion has free, ordered by millicores and id.
///
/// A placement examines no minion without enough of each resource, apart from those on its way to
/// the first one that has it.  It is a treap whose nodes know the most of each resource that any
/// minion below them has free; with priorities from the ids, its depth grows with the logarithm of
/// the number of minions.
#[derive(Debug, Default)]
pub(crate) struct Index {
    nodes: Vec<Node>,
    root: Link,
}

/// Position of a node in [`Index::nodes`].
type Link = Option<u32>;

#[derive(Debug)]
struct Node {
    id: MinionId,
    free: Resources,
    /// The most of each resource that any minion of this subtree has free.
    max: Resources,
    priority: u64,
    left: Link,
    right: Link,
}

impl Node {
    fn key(&self) -> (u64, &MinionId) {
        (self.free.cpu, &self.id)
    }
}

impl Index {
    /// Indexes minions.
    pub(crate) fn new<'a>(minions: impl Iterator<Item = &'a Minion>) -> Self {
        let mut index = Self::default();
        for minion in minions {
            let free = minion.free();
            let node = index.nodes.len() as u32;
            index.nodes.push(Node {
                id: minion.id.clone(),
                free,
                max: free,
                priority: ownership::rank("", &minion.id),
                left: None,
                right: None,
            });
            index.insert(node);
        }
        index
    }

    /// Searches for minions that have a need free, those with the fewest free millicores first.
    pub(crate) fn search(&self, need: Resources) -> Search<'_> {
        let mut search = Search { index: self, need, path: SmallVec::new(), examined: 0 };
        search.descend(self.root);
        search
    }

    /// Updates a minion that had `former` free and has `current` now.
    pub(crate) fn update(&mut self, id: &MinionId, former: &Resources, current: Resources) {
        let Some(node) = self.remove((former.cpu, id)) else { return };
        let updated = &mut self.nodes[node as usize];
        (updated.free, updated.max) = (current, current);
        self.insert(node);
    }

    fn insert(&mut self, node: u32) {
        let root = self.root.take();
        let (before, after) = self.split(root, node);
        let with_node = self.merge(before, Some(node));
        self.root = self.merge(with_node, after);
    }

    /// Takes the node with a key out of the tree.
    fn remove(&mut self, key: (u64, &MinionId)) -> Link {
        let mut path: SmallVec<[u32; INLINE_DEPTH]> = SmallVec::new();
        let mut link = self.root;
        let found = loop {
            let at = link?;
            match key.cmp(&self.nodes[at as usize].key()) {
                Ordering::Less => link = self.nodes[at as usize].left,
                Ordering::Greater => link = self.nodes[at as usize].right,
                Ordering::Equal => break at,
            }
            path.push(at);
        };
        let node = &mut self.nodes[found as usize];
        let (left, right) = (node.left.take(), node.right.take());
        let rest = self.merge(left, right);
        match path.last() {
            None => self.root = rest,
            Some(parent) => {
                let parent = &mut self.nodes[*parent as usize];
                if parent.left == Some(found) {
                    parent.left = rest;
                } else {
                    parent.right = rest;
                }
            }
        }
        for at in path.into_iter().rev() {
            self.update_max(at);
        }
        Some(found)
    }

    /// Splits a subtree into the nodes before `node` and those after it.
    fn split(&mut self, tree: Link, node: u32) -> (Link, Link) {
        let Some(at) = tree else { return (None, None) };
        if self.nodes[at as usize].key() < self.nodes[node as usize].key() {
            let (before, after) = self.split(self.nodes[at as usize].right, node);
            self.nodes[at as usize].right = before;
            self.update_max(at);
            (Some(at), after)
        } else {
            let (before, after) = self.split(self.nodes[at as usize].left, node);
            self.nodes[at as usize].left = after;
            self.update_max(at);
            (before, Some(at))
        }
    }

    /// Merges two subtrees, all of whose nodes are in order.
    fn merge(&mut self, before: Link, after: Link) -> Link {
        let (Some(first), Some(second)) = (before, after) else { return before.or(after) };
        let root = if self.nodes[first as usize].priority >= self.nodes[second as usize].priority {
            let right = self.nodes[first as usize].right;
            self.nodes[first as usize].right = self.merge(right, after);
            first
        } else {
            let left = self.nodes[second as usize].left;
            self.nodes[second as usize].left = self.merge(before, left);
            second
        };
        self.update_max(root);
        Some(root)
    }

    fn update_max(&mut self, at: u32) {
        let max_of = |link: Link| link.map(|at| self.nodes[at as usize].max).unwrap_or_default();
        let node = &self.nodes[at as usize];
        let max = node.free.max(&max_of(node.left)).max(&max_of(node.right));
        self.nodes[at as usize].max = max;
    }
}

/// A search for minions that have a need free, in order.
#[derive(Debug)]
pub(crate) struct Search<'a> {
    index: &'a Index,
    need: Resources,
    /// Nodes that are still to be examined, each with its right subtree.
    path: SmallVec<[u32; INLINE_DEPTH]>,
    examined: u64,
}

impl Search<'_> {
    /// Number of minions examined so far.
    pub(crate) fn examined(&self) -> u64 {
        self.examined
    }

    /// Adds the nodes from a subtree's root to its first candidate.
    fn descend(&mut self, mut link: Link) {
        while let Some(at) = link {
            let node = &self.index.nodes[at as usize];
            self.examined += 1;
            if !node.max.holds(&self.need) {
                return;
            }
            if node.free.cpu < self.need.cpu {
                link = node.right;
            } else {
                self.path.push(at);
                link = node.left;
            }
        }
    }
}

impl<'a> Iterator for Search<'a> {
    type Item = &'a MinionId;

    fn next(&mut self) -> Option<Self::Item> {
        loop {
            let node = &self.index.nodes[self.path.pop()? as usize];
            self.descend(node.right);
            if node.free.holds(&self.need) {
                return Some(&node.id);
            }
        }
    }
}
