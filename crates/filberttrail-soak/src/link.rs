//! A simulated network link: a TCP proxy on loopback that can delay, block, blackhole and reset
//! connections.

use crate::fault::Impairment;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Maximum number of bytes per copy.
const CHUNK_BYTES: usize = 16 << 10;

/// The target and the impairments of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct State {
    target: SocketAddr,
    delay: Duration,
    blocks_forward: bool,
    blocks_return: bool,
    /// Connections with a lower number carry no more data.
    blackholed_below: u64,
    /// Connections with a lower number are reset.
    reset_below: u64,
    /// Number of connections accepted so far, which is the number of the next one.
    accepted: u64,
}

/// A link to one target. Clones share its state. Its listener runs as long as the runtime.
#[derive(Debug, Clone)]
pub struct Link {
    /// The address at which the link listens.
    pub address: SocketAddr,
    state: Arc<watch::Sender<State>>,
}

impl Link {
    /// Starts a link to an address, on a free loopback port.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?;
        let state = State {
            target,
            delay: Duration::ZERO,
            blocks_forward: false,
            blocks_return: false,
            blackholed_below: 0,
            reset_below: 0,
            accepted: 0,
        };
        let (state, _) = watch::channel(state);
        let link = Self { address, state: Arc::new(state) };
        let acceptor = link.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(acceptor.clone().relay(stream));
            }
        });
        Ok(link)
    }

    /// Changes the address that new connections are relayed to. Open connections keep theirs.
    pub fn set_target(&self, target: SocketAddr) {
        self.state.send_modify(|state| state.target = target);
    }

    /// Begins an impairment. Impairments of different kinds add up.
    pub fn impair(&self, impairment: Impairment) {
        self.state.send_modify(|state| match impairment {
            Impairment::Delay(delay) => state.delay = delay,
            Impairment::BlockForward => state.blocks_forward = true,
            Impairment::BlockReturn => state.blocks_return = true,
            Impairment::Blackhole => state.blackholed_below = state.accepted,
            Impairment::Reset => state.reset_below = state.accepted,
        });
    }

    /// Ends all impairments, except that blackholed connections never recover.
    pub fn restore(&self) {
        self.state.send_modify(|state| {
            state.delay = Duration::ZERO;
            state.blocks_forward = false;
            state.blocks_return = false;
        });
    }

    async fn relay(self, mut client: TcpStream) {
        let mut number = 0;
        self.state.send_modify(|state| {
            number = state.accepted;
            state.accepted += 1;
        });
        let target = self.state.borrow().target;
        let Ok(mut server) = TcpStream::connect(target).await else {
            reset_on_drop(&client);
            return;
        };
        for stream in [&client, &server] {
            // With Nagle's algorithm, small chunks would wait for acknowledgements and be delayed
            // without an impairment.
            let _ = stream.set_nodelay(true);
        }
        let mut receiver = self.state.subscribe();
        let is_reset = {
            let (client_read, client_write) = client.split();
            let (server_read, server_write) = server.split();
            tokio::select! {
                _ = receiver.wait_for(|state| number < state.reset_below) => true,
                _ = async {
                    tokio::join!(
                        copy_data(client_read, server_write, self.state.subscribe(), number, true),
                        copy_data(server_read, client_write, self.state.subscribe(), number, false),
                    )
                } => false,
            }
        };
        if is_reset {
            reset_on_drop(&client);
            reset_on_drop(&server);
        }
    }
}

/// Copies data in one direction, subject to the impairments of the link.
async fn copy_data(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut receiver: watch::Receiver<State>,
    number: u64,
    is_forward: bool,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let length = from.read(&mut chunk).await.unwrap_or(0);
        let lets_through = |state: &State| {
            let is_blocked = if is_forward { state.blocks_forward } else { state.blocks_return };
            !is_blocked && number >= state.blackholed_below
        };
        let delay = match receiver.wait_for(lets_through).await {
            Ok(state) => state.delay,
            Err(_) => return,
        };
        if delay > Duration::ZERO {
            tokio::time::sleep(delay).await;
        }
        if length == 0 {
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}

/// Makes a connection close with a reset when it is dropped.
fn reset_on_drop(stream: &TcpStream) {
    // If this fails, the connection closes normally, which callers handle as well.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
