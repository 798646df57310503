//! A TCP relay on loopback, which delays, holds back or resets what passes.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::SocketAddr,
    rc::Rc,
};

use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener, TcpStream,
        tcp::{
            OwnedReadHalf,
            OwnedWriteHalf, //
        },
    },
    sync::Notify,
};

use super::pause;
use crate::{
    clock::Span,
    error::Result, //
};

/// Bytes passed on at a time.
const BUFFER: usize = 16 << 10;

/// What a relay does to connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Mode {
    #[default]
    Pass,
    /// Each read is passed on this much later.
    Delay(Span),
    /// Nothing passes, in neither direction.
    Silent,
    /// Nothing passes from the side that connected.
    SilentForward,
    /// Nothing passes to the side that connected.
    SilentBack,
    /// Connections are reset, present and new ones.
    Reset,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Forward,
    Back,
}

impl Mode {
    fn holds(self, direction: Direction) -> bool {
        match self {
            Self::Silent => true,
            Self::SilentForward => direction == Direction::Forward,
            Self::SilentBack => direction == Direction::Back,
            Self::Pass | Self::Delay(_) | Self::Reset => false,
        }
    }
}

/// A relay to one address.
pub(super) struct Relay {
    address: SocketAddr,
    mode: Cell<Mode>,
    changed: Notify,
    reset: Notify,
    target: RefCell<Option<SocketAddr>>,
}

impl Relay {
    pub(super) fn new(address: SocketAddr) -> Rc<Self> {
        Rc::new(Self {
            address,
            mode: Cell::default(),
            changed: Notify::new(),
            reset: Notify::new(),
            target: RefCell::default(),
        })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(super) fn set(&self, mode: Mode) {
        self.mode.set(mode);
        self.changed.notify_waiters();
    }

    /// Resets the present connections; new ones may follow.
    pub(super) fn reset(&self) {
        self.reset.notify_waiters();
    }

    /// Starts to accept connections.
    pub(super) async fn start(self: &Rc<Self>, target: SocketAddr) -> Result<()> {
        let listener = TcpListener::bind(self.address).await?;
        self.target.replace(Some(target));
        let relay = self.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(relay.clone().pass(stream));
            }
        });
        Ok(())
    }

    async fn pass(self: Rc<Self>, near: TcpStream) {
        let target = *self.target.borrow();
        let Some(target) = target.filter(|_| self.mode.get() != Mode::Reset) else {
            let _ = near.set_zero_linger();
            return;
        };
        while self.mode.get() == Mode::Silent {
            self.changed.notified().await;
        }
        let Ok(far) = TcpStream::connect(target).await else {
            let _ = near.set_zero_linger();
            return;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (near, far) = (near.into_split(), far.into_split());
        let mut ends = (near, far);
        let reset = {
            let ((near_in, near_out), (far_in, far_out)) = &mut ends;
            let forward = self.copy(near_in, far_out, Direction::Forward);
            let back = self.copy(far_in, near_out, Direction::Back);
            tokio::select! {
                _ = async { tokio::join!(forward, back) } => false,
                () = self.until_reset() => true,
            }
        };
        if reset {
            let ((near, _), (far, _)) = &ends;
            let _ = near.as_ref().set_zero_linger();
            let _ = far.as_ref().set_zero_linger();
        }
    }

    async fn until_reset(&self) {
        while self.mode.get() != Mode::Reset {
            tokio::select! {
                () = self.changed.notified() => {}
                () = self.reset.notified() => return,
            }
        }
    }

    async fn copy(&self, from: &mut OwnedReadHalf, to: &mut OwnedWriteHalf, way: Direction) {
        let mut buffer = vec![0; BUFFER];
        loop {
            let read = from.read(&mut buffer).await;
            while self.mode.get().holds(way) {
                self.changed.notified().await;
            }
            if let Mode::Delay(delay) = self.mode.get() {
                pause(delay).await;
            }
            let Ok(count @ 1..) = read else { break };
            if to.write_all(&buffer[..count]).await.is_err() {
                break;
            }
        }
        let _ = to.shutdown().await;
    }
}
