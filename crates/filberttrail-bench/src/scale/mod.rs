//! Compares ways to distribute a configuration change, by counting connections and messages in a
//! deployment of the largest size.

use crate::plot::{self, Line};
use fastrand::Rng;
use filberttrail_kernel::Result;
use filberttrail_route::subset;
use serde::Serialize;
use std::collections::{BTreeSet, VecDeque};

/// Number of entries in the largest deployment.
const ENTRIES: usize = 340;
/// Number of sidecars in the largest deployment.
const SIDECARS: usize = 1_500;
/// Number of data centres in the largest deployment.
const DATA_CENTRES: usize = 19;
/// Upstreams that each entry is connected to: four of each of 32 models.
const SUBSET_SIZE: usize = 128;
/// Children of each node in the tree; twice the peers that a node picks for gossip.
const FAN_OUT: usize = 8;
/// Size of a message with a manifest and its frame, in bytes.
const MANIFEST_BYTES: u64 = 900;
/// Entries that get a change directly from the platform: all, as each keeps a watch open.
const PLATFORM_READERS: usize = ENTRIES;

/// The cost of one way to distribute a change.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Row {
    /// The name of the topology.
    pub way: String,
    /// Mean number of connections of a node.
    pub connections_mean: f64,
    /// Largest number of connections of a node.
    pub connections_most: usize,
    /// Connections that exist only for this purpose, over all nodes.
    pub extra_connections: usize,
    /// Messages sent for one change, over all nodes.
    pub messages: u64,
    /// Bytes that the busiest node sends for one change.
    pub busiest_bytes: u64,
    /// The longest path of a change, in hops from the nearest node that gets it from the platform.
    pub hops: usize,
    /// Nodes that get the change if only one entry gets it from the platform.
    pub reached_from_one: usize,
    /// The longest path of the change in that case, in hops.
    pub hops_from_one: usize,
    /// Live nodes that a change no longer reaches after the loss of a data centre, before any
    /// repair.
    pub cut_off: usize,
    /// Connections of live nodes that the loss of the data centre breaks.
    pub repairs: usize,
}

/// The result of the comparison.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Outcome {
    /// The seed of the random topology.
    pub seed: u64,
    /// One row for each topology.
    pub rows: Vec<Row>,
    /// Whether the data connections need no extra connection, and no live node is cut off.
    pub met: bool,
}

/// An undirected graph of connections; nodes are the entries, then the sidecars.
struct Graph {
    neighbours: Vec<BTreeSet<usize>>,
}

impl Graph {
    fn new(nodes: usize) -> Self {
        Self { neighbours: vec![BTreeSet::new(); nodes] }
    }

    fn connect(&mut self, left: usize, right: usize) {
        if left != right {
            self.neighbours[left].insert(right);
            self.neighbours[right].insert(left);
        }
    }

    fn count_connections(&self) -> usize {
        self.neighbours.iter().map(BTreeSet::len).sum::<usize>() / 2
    }

    /// Returns each live node's distance from the nearest live source, in hops; `None` if
    /// unreachable.
    fn compute_distances(
        &self,
        sources: &[usize],
        is_live: &dyn Fn(usize) -> bool,
    ) -> Vec<Option<usize>> {
        let mut distances = vec![None; self.neighbours.len()];
        let mut queue = VecDeque::new();
        for node in sources.iter().copied().filter(|node| is_live(*node)) {
            distances[node] = Some(0);
            queue.push_back(node);
        }
        while let Some(node) = queue.pop_front() {
            let next = distances[node].map(|distance: usize| distance + 1);
            for peer in self.neighbours[node].iter().copied().filter(|peer| is_live(*peer)) {
                if distances[peer].is_none() {
                    distances[peer] = next;
                    queue.push_back(peer);
                }
            }
        }
        distances
    }
}

/// Counts the cost of each topology.
pub fn compare(seed: u64) -> Result<Outcome> {
    let mut random = Rng::with_seed(seed);
    let nodes = ENTRIES + SIDECARS;
    let data_graph = build_data_connections();
    let entries: Vec<usize> = (0..ENTRIES).collect();
    let rows = vec![
        measure("full mesh", &build_full_mesh(nodes), &data_graph, &[0], Forwarding::ToChildren),
        measure("rendezvous tree", &build_tree(nodes), &data_graph, &[0], Forwarding::ToChildren),
        measure("gossip", &build_gossip(nodes, &mut random), &data_graph, &[0], Forwarding::Flood),
        measure("de Bruijn overlay", &build_de_bruijn(nodes), &data_graph, &[0], Forwarding::Flood),
        measure(
            "data connections",
            &data_graph,
            &data_graph,
            &entries[..PLATFORM_READERS],
            Forwarding::Flood,
        ),
    ];
    let data_row = &rows[rows.len() - 1];
    let met = data_row.extra_connections == 0 && data_row.cut_off == 0;
    Ok(Outcome { seed, rows, met })
}

/// Which peers a node forwards a change to.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Forwarding {
    ToChildren,
    Flood,
}

fn measure(
    name: &str,
    graph: &Graph,
    data_graph: &Graph,
    sources: &[usize],
    forwarding: Forwarding,
) -> Row {
    let nodes = graph.neighbours.len();
    let degrees: Vec<usize> = graph.neighbours.iter().map(BTreeSet::len).collect();
    let reached = graph.compute_distances(sources, &|_| true);
    let from_one = graph.compute_distances(&sources[..1], &|_| true);
    let is_lost = |node: usize| node % DATA_CENTRES == DATA_CENTRES - 1;
    let after_loss = graph.compute_distances(sources, &|node| !is_lost(node));
    let live_nodes = (0..nodes).filter(|node| !is_lost(*node));
    let cut_off = live_nodes.filter(|node| after_loss[*node].is_none()).count();
    let count_broken =
        |node: usize| graph.neighbours[node].iter().filter(|peer| is_lost(**peer)).count();
    let repairs = (0..nodes).filter(|node| !is_lost(*node)).map(count_broken).sum();
    let extra = graph.neighbours.iter().enumerate().flat_map(|(node, peers)| {
        peers
            .iter()
            .filter(move |peer| node < **peer && !data_graph.neighbours[node].contains(peer))
    });
    let (messages, busiest) = match forwarding {
        Forwarding::ToChildren => {
            let children = |node: usize| {
                let further = |peer: &&usize| from_one[**peer] > from_one[node];
                graph.neighbours[node].iter().filter(further).count() as u64
            };
            (nodes as u64 - 1, (0..nodes).map(children).max().unwrap_or(0))
        }
        Forwarding::Flood => {
            // A node does not send a change back to its first sender; messages that cross are
            // counted.
            let messages =
                2 * graph.count_connections() as u64 - (nodes as u64 - sources.len() as u64);
            (messages, degrees.iter().copied().max().unwrap_or(0) as u64)
        }
    };
    Row {
        way: name.to_string(),
        connections_mean: degrees.iter().sum::<usize>() as f64 / nodes as f64,
        connections_most: degrees.iter().copied().max().unwrap_or(0),
        extra_connections: extra.count(),
        messages,
        busiest_bytes: busiest * MANIFEST_BYTES,
        hops: reached.iter().flatten().copied().max().unwrap_or(0),
        reached_from_one: from_one.iter().flatten().count(),
        hops_from_one: from_one.iter().flatten().copied().max().unwrap_or(0),
        cut_off,
        repairs,
    }
}

/// Returns the connections that requests need anyway: from each entry to its subset of sidecars.
fn build_data_connections() -> Graph {
    let mut graph = Graph::new(ENTRIES + SIDECARS);
    let names: Vec<String> = (0..SIDECARS).map(|index| format!("engine-{index:04}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    for entry in 0..ENTRIES {
        for sidecar in subset::choose(&format!("entry-{entry:03}"), &names, SUBSET_SIZE) {
            graph.connect(entry, ENTRIES + sidecar);
        }
    }
    graph
}

fn build_full_mesh(nodes: usize) -> Graph {
    let mut graph = Graph::new(nodes);
    for left in 0..nodes {
        for right in left + 1..nodes {
            graph.connect(left, right);
        }
    }
    graph
}

fn build_tree(nodes: usize) -> Graph {
    let mut graph = Graph::new(nodes);
    for node in 1..nodes {
        graph.connect(node, (node - 1) / FAN_OUT);
    }
    graph
}

fn build_gossip(nodes: usize, random: &mut Rng) -> Graph {
    let mut graph = Graph::new(nodes);
    for node in 0..nodes {
        for _ in 0..FAN_OUT / 2 {
            graph.connect(node, random.usize(0..nodes));
        }
    }
    graph
}

/// Builds the de Bruijn overlay of the D2B paper with two children per node: node x is connected to
/// 2x and 2x+1, modulo the number of nodes.
fn build_de_bruijn(nodes: usize) -> Graph {
    let mut graph = Graph::new(nodes);
    for node in 0..nodes {
        graph.connect(node, 2 * node % nodes);
        graph.connect(node, (2 * node + 1) % nodes);
    }
    graph
}

impl Outcome {
    /// Draws the mean and the largest number of connections of a node, by topology.
    pub fn draw(&self, file: &str) -> Result<()> {
        let mean = Line::new("mean", self.rows.iter().map(|row| row.connections_mean));
        let most = Line::new("most", self.rows.iter().map(|row| row.connections_most as f64));
        let ways = "mesh, tree, gossip, overlay, data connections";
        plot::draw(file, "Connections per node", ways, "connections", &[mean, most])
    }
}
