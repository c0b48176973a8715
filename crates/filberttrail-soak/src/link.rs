//! A TCP proxy on loopback that delays, cuts, silences and resets.

use crate::fault::Harm;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes moved at once.
const PIECE: usize = 16 << 10;

/// How a link is at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Condition {
    target: SocketAddr,
    delay: Duration,
    cut_toward: bool,
    cut_back: bool,
    /// Connections numbered below this are silent for good.
    silent_below: u64,
    /// Connections numbered below this are reset.
    reset_below: u64,
    /// Connections so far.
    opened: u64,
}

/// A link.
#[derive(Debug, Clone)]
pub struct Link {
    /// Where it listens.
    pub address: SocketAddr,
    condition: Arc<watch::Sender<Condition>>,
}

impl Link {
    /// Starts a link to an address, on a free port of loopback.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?;
        let condition = Condition {
            target,
            delay: Duration::ZERO,
            cut_toward: false,
            cut_back: false,
            silent_below: 0,
            reset_below: 0,
            opened: 0,
        };
        let (condition, _) = watch::channel(condition);
        let link = Self { address, condition: Arc::new(condition) };
        let accepting = link.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(accepting.clone().carry(stream));
            }
        });
        Ok(link)
    }

    /// Sends new connections to another address.
    pub fn turn_to(&self, target: SocketAddr) {
        self.condition.send_modify(|condition| condition.target = target);
    }

    /// Begins a harm.
    pub fn harm(&self, harm: Harm) {
        self.condition.send_modify(|condition| match harm {
            Harm::Delay(delay) => condition.delay = delay,
            Harm::CutToward => condition.cut_toward = true,
            Harm::CutBack => condition.cut_back = true,
            Harm::Silence => condition.silent_below = condition.opened,
            Harm::Reset => condition.reset_below = condition.opened,
        });
    }

    /// Ends all harms that end; connections that were silenced stay silent.
    pub fn mend(&self) {
        self.condition.send_modify(|condition| {
            condition.delay = Duration::ZERO;
            condition.cut_toward = false;
            condition.cut_back = false;
        });
    }

    async fn carry(self, mut near: TcpStream) {
        let mut number = 0;
        self.condition.send_modify(|condition| {
            number = condition.opened;
            condition.opened += 1;
        });
        let target = self.condition.borrow().target;
        let Ok(mut far) = TcpStream::connect(target).await else {
            reset(&near);
            return;
        };
        for stream in [&near, &far] {
            // Without it, small pieces wait for acknowledgements, which no harm asked for.
            let _ = stream.set_nodelay(true);
        }
        let mut watching = self.condition.subscribe();
        let is_reset = {
            let (near_read, near_write) = near.split();
            let (far_read, far_write) = far.split();
            tokio::select! {
                _ = watching.wait_for(|condition| number < condition.reset_below) => true,
                _ = async {
                    tokio::join!(
                        pump(near_read, far_write, self.condition.subscribe(), number, true),
                        pump(far_read, near_write, self.condition.subscribe(), number, false),
                    )
                } => false,
            }
        };
        if is_reset {
            reset(&near);
            reset(&far);
        }
    }
}

/// Moves bytes one way, as far as the link's condition lets them.
async fn pump(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut watching: watch::Receiver<Condition>,
    number: u64,
    toward: bool,
) {
    let mut piece = vec![0; PIECE];
    loop {
        let length = from.read(&mut piece).await.unwrap_or(0);
        let passes = |condition: &Condition| {
            let cut = if toward { condition.cut_toward } else { condition.cut_back };
            !cut && number >= condition.silent_below
        };
        let delay = match watching.wait_for(passes).await {
            Ok(condition) => condition.delay,
            Err(_) => return,
        };
        if delay > Duration::ZERO {
            tokio::time::sleep(delay).await;
        }
        if length == 0 {
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&piece[..length]).await.is_err() {
            return;
        }
    }
}

/// Has a connection closed with a reset once it is dropped.
fn reset(stream: &TcpStream) {
    // If it fails, the connection ends in the usual way, which callers bear as well.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
