//! Coordinates the expert map of a group of engines.
//!
//! One sidecar of the group holds a lease on the platform. It computes the map, orders the sidecars
//! of all ranks to stage it, and then orders the sidecar of the leader, rank 0, to activate it. The
//! map version in each order contains the holder's fence, so orders of earlier holders are
//! rejected.

use crate::context::Context;
use bytes::Bytes;
use filberttrail_declare::View;
use filberttrail_declare::model::{Group, Upstream};
use filberttrail_kernel::id::{Fence, Incarnation, MapVersion, Version};
use filberttrail_kernel::{Error, Result};
use filberttrail_place::{Allowance, Constraints, Map, Popularity, few_moves};
use filberttrail_protocol::link::Identity;
use filberttrail_protocol::{Frame, Link};
use filberttrail_state::Lease;
use filberttrail_state::barrier::{self, Rollout};
use filberttrail_state::lease::{RENEWAL_PERIOD, TERM};
use filberttrail_store::Platform;
use filberttrail_store::client::Write;
use filberttrail_web::Body;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Time limit for a request to the engine. An order over a connection may take twice as long.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long an order may still be in flight. A sidecar ignores orders for this long after its
/// start, because they may be meant for its previous incarnation.
const MAX_ORDER_DELAY: Duration = Duration::from_millis(1_000);
/// Additional time per rank that a candidate waits before it acquires the lease, so that the lowest
/// rank usually gets it.
const ACQUISITION_DELAY_PER_RANK: Duration = Duration::from_millis(1_000);
/// Interval at which the holder decides whether to change the map.
const REBALANCE_PERIOD: Duration = Duration::from_secs(15);
/// Number of lowest ranks whose sidecars are candidates for the lease. The others only read the
/// lease object, to learn the current fence.
const CANDIDATE_RANKS: u32 = 3;
/// Interval at which sidecars that are not candidates read the lease object.
const OBSERVATION_PERIOD: Duration = Duration::from_secs(30);
/// Delay after a failed call to the platform, or while no configuration is known.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// An order of the lease holder to the sidecar of one rank.
#[derive(Debug)]
pub enum Order {
    /// Stage the map with this version, given in JSON.
    Stage(MapVersion, Bytes),
    /// Run the next steps with this version.
    Activate(MapVersion),
}

/// The value of the lease object, in JSON.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Holder {
    name: String,
    incarnation: Incarnation,
    fence: Fence,
}

/// Applies an order and returns the response to send, or `None` if the order is ignored, rejected
/// or fails. Orders are rejected if a later lease holder is known.
pub async fn apply_order(context: &Context, order: Order) -> Option<Frame> {
    if context.now() < MAX_ORDER_DELAY {
        return None;
    }
    let upstream = context.view.borrow().as_ref()?.upstream(&context.settings.name).cloned()?;
    match order {
        Order::Stage(version, map) => {
            if !context.stage(version) {
                log::warn!("{} rejects map {version} of an earlier holder", context.settings.name);
                return None;
            }
            let map: serde_json::Value = serde_json::from_slice(&map).ok()?;
            post_order(context, "stage", version, map).await.ok()?;
            Some(Frame::Staged(upstream.rank, version))
        }
        Order::Activate(version) => {
            if !context.may_activate(version) || upstream.rank != 0 {
                return None;
            }
            post_order(context, "activate", version, serde_json::Value::Null).await.ok()?;
            log::debug!("{} activates map {version}", context.settings.name);
            Some(Frame::Activated(version))
        }
    }
}

async fn post_order(
    context: &Context,
    action: &str,
    version: MapVersion,
    map: serde_json::Value,
) -> Result<()> {
    let fence = barrier::fence_of(version);
    let body = serde_json::json!({ "fence": fence, "version": version, "map": map }).to_string();
    let help = "the order is sent again";
    let order_error = |error: String| Error::upstream(&context.settings.name, error, help);
    let request = hyper::Request::post(format!("/orders/{action}"))
        .header("host", "engine")
        .body(Body::new(body))
        .map_err(|error| order_error(error.to_string()))?;
    let address = context.settings.upstream;
    let response = context.client.fetch(address, request, ORDER_TIMEOUT, 4_096).await;
    let response = response.map_err(|error| order_error(error.to_string()))?;
    if response.status().is_success() {
        return Ok(());
    }
    Err(order_error(format!("the engine responded to the order with {}", response.status())).into())
}

/// Acquires and renews the group's lease and maintains its map, until the task is aborted.
pub async fn run(context: Arc<Context>, platform: Arc<Platform>, identity: Identity) {
    let mut coordinator =
        Coordinator { context, platform, identity, lease: Lease::new(), object: None, plan: None };
    loop {
        let view = coordinator.context.view.borrow().clone();
        let delay = match view {
            Some(view) => match coordinator.run_once(&view).await {
                Ok(()) if coordinator.is_candidate(&view) => RENEWAL_PERIOD / 2,
                Ok(()) => OBSERVATION_PERIOD,
                Err(error) => {
                    log::warn!("cannot coordinate the group: {}", error.current_context());
                    RETRY_DELAY
                }
            },
            None => RETRY_DELAY,
        };
        tokio::time::sleep(delay).await;
    }
}

/// The current map of a group and its rollout, as the lease holder tracks them.
struct Plan {
    rollout: Rollout,
    map: Map,
    version: MapVersion,
    count: u16,
    popularity: Popularity,
    allowance: Allowance,
    rebalanced_at: Duration,
}

impl Plan {
    fn new(group: &Group, ranks: u32, fence: Fence, now: Duration) -> Self {
        let version = barrier::build_version(fence, 1);
        let mut rollout = Rollout::new(ranks, 0);
        rollout.propose(version);
        Self {
            rollout,
            map: Map::uniform(group.experts, ranks, group.slots),
            version,
            count: 1,
            popularity: Popularity::new(),
            allowance: Allowance::new(),
            rebalanced_at: now,
        }
    }

    /// Computes a map that suits the current expert popularity better and proposes it, unless it
    /// would not move any expert.
    fn rebalance(&mut self, group: &Group, fence: Fence, context: &Context) {
        if self.popularity.shares().len() != group.experts as usize || self.count == u16::MAX {
            return;
        }
        let constraints = Constraints {
            slots: group.slots,
            max_moves: self.allowance.refill(),
            ..Constraints::default()
        };
        let next = few_moves::improve(&self.map, self.popularity.shares(), &constraints);
        let moves = next.moves_from(&self.map);
        let (before, after) =
            (self.map.skew(self.popularity.shares()), next.skew(self.popularity.shares()));
        context.metrics.skew.set(after);
        let (name, count) = (&group.name, self.count + u16::from(moves > 0));
        log::info!(
            "placement of {name}: skew {before:.3} to {after:.3}, {moves} moves, map {}",
            barrier::build_version(fence, count)
        );
        if moves == 0 {
            return;
        }
        self.allowance.spend(moves);
        context.metrics.moves.inc_by(moves as u64);
        self.count = count;
        self.map = next;
        self.version = barrier::build_version(fence, count);
        self.rollout.propose(self.version);
    }
}

struct Coordinator {
    context: Arc<Context>,
    platform: Arc<Platform>,
    identity: Identity,
    lease: Lease,
    object: Option<(Version, Holder)>,
    plan: Option<Plan>,
}

impl Coordinator {
    fn is_candidate(&self, view: &View) -> bool {
        view.upstream(&self.identity.name).is_none_or(|upstream| upstream.rank < CANDIDATE_RANKS)
    }

    async fn run_once(&mut self, view: &View) -> Result<()> {
        let Some(upstream) = view.upstream(&self.identity.name) else { return Ok(()) };
        let groups = &view.declarations.estate.groups;
        let group = groups.iter().find(|group| Some(&group.name) == upstream.group.as_ref());
        let Some(group) = group else { return Ok(()) };
        let key = format!("leases/group-{}", group.name);
        self.maintain_lease(&key, upstream).await?;
        let Some(fence) = self.lease.fence(self.context.now()) else {
            self.plan = None;
            return Ok(());
        };
        self.maintain_map(view, group, fence).await;
        Ok(())
    }

    async fn maintain_lease(&mut self, key: &str, upstream: &Upstream) -> Result<()> {
        let started_at = self.context.now();
        let object = self.platform.read(key).await?;
        let version = object.as_ref().map(|object| object.version);
        self.object = object.and_then(|object| {
            let holder = serde_json::from_slice(&object.value).ok()?;
            Some((object.version, holder))
        });
        self.lease.observe(version, self.context.now());
        if let Some((version, holder)) = self.object.clone() {
            self.context.raise_fence(holder.fence);
            if holder.name == self.identity.name && holder.incarnation == self.identity.incarnation
            {
                return self.renew(key, version, holder, started_at).await;
            }
            self.lease.mark_lost();
        }
        if upstream.rank >= CANDIDATE_RANKS {
            return Ok(());
        }
        let rank_delay = ACQUISITION_DELAY_PER_RANK * upstream.rank;
        let now = self.context.now();
        let Some(version) = self.lease.acquirable_version(now.saturating_sub(rank_delay)) else {
            return Ok(());
        };
        if version == 0 && now < rank_delay + TERM / 4 {
            return Ok(());
        }
        let fence = Lease::next_fence(version);
        let holder = Holder {
            name: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
            fence,
        };
        let value = Bytes::from(serde_json::to_vec(&holder).unwrap_or_default());
        if let Write::Done(written_version) = self.platform.write(key, version, value).await? {
            log::info!("{} acquired {key} with fence {fence}", self.identity.name);
            self.lease.record_acquisition(fence, written_version, started_at);
        }
        Ok(())
    }

    async fn renew(
        &mut self,
        key: &str,
        version: Version,
        holder: Holder,
        started_at: Duration,
    ) -> Result<()> {
        let value = Bytes::from(serde_json::to_vec(&holder).unwrap_or_default());
        match self.platform.write(key, version, value).await? {
            // The object names this process as the holder, but the response to the write that
            // acquired the lease was lost, or the last renewal was too long ago.
            Write::Done(version) if self.lease.fence(started_at).is_none() => {
                self.lease.record_acquisition(holder.fence, version, started_at);
            }
            Write::Done(version) => self.lease.record_renewal(version, started_at),
            Write::Conflict => self.lease.mark_lost(),
        }
        Ok(())
    }

    /// Orders all ranks to stage the current map, and the leader to activate it once all have
    /// staged it. Orders are repeated on every call, so ranks that restarted get the map again.
    async fn maintain_map(&mut self, view: &View, group: &Group, fence: Fence) {
        let members = list_members(view, group);
        let ranks = members.len() as u32;
        let has_other_fence = |plan: &Plan| barrier::fence_of(plan.version) != fence;
        if self.plan.as_ref().is_none_or(has_other_fence) {
            let plan = Plan::new(group, ranks, fence, self.context.now());
            log::info!("placement of {}: map {}, cause new holder", group.name, plan.version);
            self.plan = Some(plan);
        }
        let Some(plan) = &mut self.plan else { return };
        if let Some(counts) = fetch_expert_counts(&self.context).await {
            plan.popularity.observe(&counts);
        }
        let now = self.context.now();
        let is_rollout_done = plan.rollout.active() == plan.version;
        if view.preset.rebalance && is_rollout_done && now - plan.rebalanced_at >= REBALANCE_PERIOD
        {
            plan.rebalanced_at = now;
            plan.rebalance(group, fence, &self.context);
        }
        let map = Bytes::from(serde_json::to_vec(&plan.map).unwrap_or_default());
        let mut orders = tokio::task::JoinSet::new();
        for member in &members {
            let frame = Frame::Stage(plan.version, map.clone());
            orders.spawn(send_order(member.address, self.identity.clone(), frame));
        }
        while let Some(response) = orders.join_next().await {
            if let Ok(Ok(Frame::Staged(rank, version))) = response {
                plan.rollout.record_staged(rank, version);
            }
        }
        let still_held = self.lease.fence(self.context.now()) == Some(fence);
        if plan.rollout.active() == plan.version && still_held {
            let frame = Frame::Activate(plan.version);
            if let Err(error) = send_order(members[0].address, self.identity.clone(), frame).await {
                log::warn!("map not activated: {}", error.current_context());
            }
        }
    }
}

/// Fetches from the engine of this sidecar how often each expert was chosen recently.
async fn fetch_expert_counts(context: &Context) -> Option<Vec<f64>> {
    let request = hyper::Request::get("/load").header("host", "engine").body(Body::empty()).ok()?;
    let response =
        context.client.fetch(context.settings.upstream, request, ORDER_TIMEOUT, 1 << 20).await;
    let report: serde_json::Value = serde_json::from_slice(response.ok()?.body()).ok()?;
    let counts = report["experts"].as_array()?;
    counts.iter().map(serde_json::Value::as_f64).collect()
}

fn list_members(view: &View, group: &Group) -> Vec<Upstream> {
    let all = view.declarations.estate.upstreams.iter();
    let mut members: Vec<Upstream> =
        all.filter(|item| item.group.as_ref() == Some(&group.name)).cloned().collect();
    members.sort_by_key(|member| member.rank);
    members
}

/// Sends one order over a new connection and waits for the response.
async fn send_order(
    address: std::net::SocketAddr,
    identity: Identity,
    frame: Frame,
) -> Result<Frame> {
    let exchange = async {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|error| Error::upstream(address, error, "the order is sent again"))?;
        let nonce = Bytes::copy_from_slice(&fastrand::u128(..).to_be_bytes());
        let (mut link, _) = Link::connect(stream, &identity, 1, nonce).await?;
        link.send(&[frame]).await?;
        loop {
            for frame in link.next().await? {
                if matches!(frame, Frame::Staged(..) | Frame::Activated(_)) {
                    return Ok(frame);
                }
            }
        }
    };
    match tokio::time::timeout(ORDER_TIMEOUT * 2, exchange).await {
        Ok(response) => response,
        Err(_) => Err(Error::upstream(address, "no response", "the order is sent again").into()),
    }
}
