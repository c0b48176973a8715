//! The group's duty: one sidecar holds the lease, stages the expert map on all ranks and has the
//! leader activate it. Every order carries the holder's fence within its version.

use crate::gate::Gate;
use bytes::Bytes;
use filberttrail_declare::View;
use filberttrail_declare::model::{Group, Upstream};
use filberttrail_kernel::id::{Fence, Incarnation, MapVersion, Version};
use filberttrail_kernel::{Error, Result};
use filberttrail_place::{Allowance, Constraints, Map, Popularity, few_moves};
use filberttrail_protocol::link::Identity;
use filberttrail_protocol::{Frame, Link};
use filberttrail_state::Lease;
use filberttrail_state::barrier::{self, Sequence};
use filberttrail_state::lease::{RENEWAL, TERM};
use filberttrail_store::Platform;
use filberttrail_store::client::Write;
use filberttrail_web::Body;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;

/// How long an engine may take to obey.
const ORDER_WAIT: Duration = Duration::from_millis(1_000);
/// How long after its start a sidecar gives no order: one of its former life may be on its way.
const ORDER_LIFE: Duration = Duration::from_millis(1_000);
/// How much longer each further rank waits before it takes the lease.
const RANK_DELAY: Duration = Duration::from_millis(1_000);
/// How often the holder decides whether to rebalance.
const REBALANCE: Duration = Duration::from_secs(15);
/// Ranks whose sidecars hold the lease in turn; the others read it only to know its fence.
const CONTENDERS: u32 = 3;
/// How often the others read it.
const LOOK: Duration = Duration::from_secs(30);
/// The pause after a failed call.
const PAUSE: Duration = Duration::from_millis(500);

/// An order that the lease holder gave.
#[derive(Debug)]
pub enum Order {
    /// Stage this map.
    Stage(MapVersion, Bytes),
    /// Activate this version.
    Activate(MapVersion),
}

/// The lease object's value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Holder {
    name: String,
    incarnation: Incarnation,
    fence: Fence,
}

/// Obeys an order unless a later holder is known, and returns the answer to give.
pub async fn obey(gate: &Gate, order: Order) -> Option<Frame> {
    if gate.now() < ORDER_LIFE {
        return None;
    }
    let upstream = gate.view.borrow().as_ref()?.upstream(&gate.settings.name).cloned()?;
    match order {
        Order::Stage(version, map) => {
            if !gate.stage(version) {
                log::warn!("an old holder's map {version} is refused by {}", gate.settings.name);
                return None;
            }
            let map: serde_json::Value = serde_json::from_slice(&map).ok()?;
            send_order(gate, "stage", version, map).await.ok()?;
            Some(Frame::Staged(upstream.rank, version))
        }
        Order::Activate(version) => {
            if !gate.may_activate(version) || upstream.rank != 0 {
                return None;
            }
            send_order(gate, "activate", version, serde_json::Value::Null).await.ok()?;
            log::debug!("{} activates map {version}", gate.settings.name);
            Some(Frame::Activated(version))
        }
    }
}

async fn send_order(
    gate: &Gate,
    what: &str,
    version: MapVersion,
    map: serde_json::Value,
) -> Result<()> {
    let fence = barrier::fence_of(version);
    let body = serde_json::json!({ "fence": fence, "version": version, "map": map }).to_string();
    let help = "the holder orders again";
    let refused = |fault: String| Error::upstream(&gate.settings.name, fault, help);
    let request = hyper::Request::post(format!("/orders/{what}"))
        .header("host", "engine")
        .body(Body::new(body))
        .map_err(|fault| refused(fault.to_string()))?;
    let address = gate.settings.upstream;
    let answer = gate.client.fetch(address, request, ORDER_WAIT, 4_096).await;
    let answer = answer.map_err(|fault| refused(fault.to_string()))?;
    if answer.status().is_success() {
        return Ok(());
    }
    Err(refused(format!("the order was answered with {}", answer.status())).into())
}

/// Holds the group's lease, or waits to, for the life of the sidecar.
pub async fn run(gate: Arc<Gate>, platform: Arc<Platform>, me: Identity) {
    let mut duty = Duty { gate, platform, me, lease: Lease::new(), object: None, plan: None };
    loop {
        let view = duty.gate.view.borrow().clone();
        let pause = match view {
            Some(view) => match duty.tick(&view).await {
                Ok(()) if duty.contends(&view) => RENEWAL / 2,
                Ok(()) => LOOK,
                Err(fault) => {
                    log::warn!("group duty waits: {}", fault.current_context());
                    PAUSE
                }
            },
            None => PAUSE,
        };
        tokio::time::sleep(pause).await;
    }
}

struct Plan {
    sequence: Sequence,
    map: Map,
    version: MapVersion,
    count: u16,
    known: Popularity,
    allowance: Allowance,
    decided: Duration,
}

impl Plan {
    fn new(group: &Group, ranks: u32, fence: Fence, now: Duration) -> Self {
        let version = barrier::version(fence, 1);
        let mut sequence = Sequence::new(ranks, 0);
        sequence.propose(version);
        Self {
            sequence,
            map: Map::uniform(group.experts, ranks, group.slots),
            version,
            count: 1,
            known: Popularity::new(),
            allowance: Allowance::new(),
            decided: now,
        }
    }

    /// Decides whether another map is worth its moves, and proposes it.
    fn rebalance(&mut self, group: &Group, fence: Fence, gate: &Gate) {
        if self.known.shares().len() != group.experts as usize || self.count == u16::MAX {
            return;
        }
        let terms = Constraints {
            slots: group.slots,
            max_moves: self.allowance.refill(),
            ..Constraints::default()
        };
        let next = few_moves::improve(&self.map, self.known.shares(), &terms);
        let moves = next.moves_from(&self.map);
        let (before, after) = (self.map.skew(self.known.shares()), next.skew(self.known.shares()));
        gate.metrics.skew.set(after);
        let (name, count) = (&group.name, self.count + u16::from(moves > 0));
        log::info!(
            "placement of {name}: skew {before:.3} to {after:.3}, {moves} moves, map {}",
            barrier::version(fence, count)
        );
        if moves == 0 {
            return;
        }
        self.allowance.spend(moves);
        gate.metrics.moves.inc_by(moves as u64);
        self.count = count;
        self.map = next;
        self.version = barrier::version(fence, count);
        self.sequence.propose(self.version);
    }
}

struct Duty {
    gate: Arc<Gate>,
    platform: Arc<Platform>,
    me: Identity,
    lease: Lease,
    object: Option<(Version, Holder)>,
    plan: Option<Plan>,
}

impl Duty {
    fn contends(&self, view: &View) -> bool {
        view.upstream(&self.me.name).is_none_or(|own| own.rank < CONTENDERS)
    }

    async fn tick(&mut self, view: &View) -> Result<()> {
        let Some(own) = view.upstream(&self.me.name) else { return Ok(()) };
        let groups = &view.declarations.estate.groups;
        let group = groups.iter().find(|group| Some(&group.name) == own.group.as_ref());
        let Some(group) = group else { return Ok(()) };
        let key = format!("leases/group-{}", group.name);
        self.keep_lease(&key, own).await?;
        let Some(fence) = self.lease.fence(self.gate.now()) else {
            self.plan = None;
            return Ok(());
        };
        self.keep_map(view, group, fence).await;
        Ok(())
    }

    async fn keep_lease(&mut self, key: &str, own: &Upstream) -> Result<()> {
        let began = self.gate.now();
        let object = self.platform.read(key).await?;
        let version = object.as_ref().map(|object| object.version);
        self.object = object.and_then(|object| {
            let holder = serde_json::from_slice(&object.value).ok()?;
            Some((object.version, holder))
        });
        self.lease.observe(version, self.gate.now());
        if let Some((version, holder)) = self.object.clone() {
            self.gate.raise_fence(holder.fence);
            if holder.name == self.me.name && holder.incarnation == self.me.incarnation {
                return self.renew(key, version, holder, began).await;
            }
            self.lease.lose();
        }
        if own.rank >= CONTENDERS {
            return Ok(());
        }
        let patience = RANK_DELAY * own.rank;
        let now = self.gate.now();
        let Some(version) = self.lease.takeable(now.saturating_sub(patience)) else {
            return Ok(());
        };
        if version == 0 && now < patience + TERM / 4 {
            return Ok(());
        }
        let fence = Lease::next_fence(version);
        let holder = Holder { name: self.me.name.clone(), incarnation: self.me.incarnation, fence };
        let value = Bytes::from(serde_json::to_vec(&holder).unwrap_or_default());
        if let Write::Done(taken) = self.platform.write(key, version, value).await? {
            log::info!("{} takes {key} with fence {fence}", self.me.name);
            self.lease.take(fence, taken, began);
        }
        Ok(())
    }

    async fn renew(
        &mut self,
        key: &str,
        version: Version,
        holder: Holder,
        began: Duration,
    ) -> Result<()> {
        let value = Bytes::from(serde_json::to_vec(&holder).unwrap_or_default());
        match self.platform.write(key, version, value).await? {
            // The write that took it may have lost its answer: the object says that it is ours.
            Write::Done(version) if self.lease.fence(began).is_none() => {
                self.lease.take(holder.fence, version, began);
            }
            Write::Done(version) => self.lease.renew(version, began),
            Write::Conflict => self.lease.lose(),
        }
        Ok(())
    }

    /// Stages the map on ranks that lack it, and activates it once all have it.
    async fn keep_map(&mut self, view: &View, group: &Group, fence: Fence) {
        let members = members(view, group);
        let ranks = members.len() as u32;
        let stale = |plan: &Plan| barrier::fence_of(plan.version) != fence;
        if self.plan.as_ref().is_none_or(stale) {
            let plan = Plan::new(group, ranks, fence, self.gate.now());
            log::info!("placement of {}: map {}, cause new holder", group.name, plan.version);
            self.plan = Some(plan);
        }
        let Some(plan) = &mut self.plan else { return };
        if let Some(counts) = popularity(&self.gate).await {
            plan.known.observe(&counts);
        }
        let now = self.gate.now();
        let settled = plan.sequence.active() == plan.version;
        if view.preset.rebalance && settled && now - plan.decided >= REBALANCE {
            plan.decided = now;
            plan.rebalance(group, fence, &self.gate);
        }
        let map = Bytes::from(serde_json::to_vec(&plan.map).unwrap_or_default());
        let mut orders = tokio::task::JoinSet::new();
        for member in &members {
            let frame = Frame::Stage(plan.version, map.clone());
            orders.spawn(ask(member.address, self.me.clone(), frame));
        }
        while let Some(answer) = orders.join_next().await {
            if let Ok(Ok(Frame::Staged(rank, version))) = answer {
                plan.sequence.staged(rank, version);
            }
        }
        let held = self.lease.fence(self.gate.now()) == Some(fence);
        if plan.sequence.active() == plan.version && held {
            let frame = Frame::Activate(plan.version);
            if let Err(fault) = ask(members[0].address, self.me.clone(), frame).await {
                log::warn!("map not activated: {}", fault.current_context());
            }
        }
    }
}

/// Asks the engine beside how often each expert was chosen lately.
async fn popularity(gate: &Gate) -> Option<Vec<f64>> {
    let request = hyper::Request::get("/load").header("host", "engine").body(Body::empty()).ok()?;
    let answer = gate.client.fetch(gate.settings.upstream, request, ORDER_WAIT, 1 << 20).await;
    let report: serde_json::Value = serde_json::from_slice(answer.ok()?.body()).ok()?;
    let counts = report["experts"].as_array()?;
    counts.iter().map(serde_json::Value::as_f64).collect()
}

fn members(view: &View, group: &Group) -> Vec<Upstream> {
    let all = view.declarations.estate.upstreams.iter();
    let mut members: Vec<Upstream> =
        all.filter(|item| item.group.as_ref() == Some(&group.name)).cloned().collect();
    members.sort_by_key(|member| member.rank);
    members
}

/// Gives one order over a connection of its own, and waits for its answer.
async fn ask(address: std::net::SocketAddr, me: Identity, frame: Frame) -> Result<Frame> {
    let asking = async {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|fault| Error::upstream(address, fault, "the holder asks again"))?;
        let nonce = Bytes::copy_from_slice(&fastrand::u128(..).to_be_bytes());
        let (mut link, _) = Link::connect(stream, &me, 1, nonce).await?;
        link.send(&[frame]).await?;
        loop {
            for frame in link.next().await? {
                if matches!(frame, Frame::Staged(..) | Frame::Activated(_)) {
                    return Ok(frame);
                }
            }
        }
    };
    match tokio::time::timeout(ORDER_WAIT * 2, asking).await {
        Ok(answer) => answer,
        Err(_) => Err(Error::upstream(address, "no answer", "the holder asks again").into()),
    }
}
