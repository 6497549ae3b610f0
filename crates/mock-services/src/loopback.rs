//! Addresses of simulated machines: one 127.x.y.z for each, with the same ports on all of them, as in a
//! deployment. On Linux, all of 127.0.0.0/8 can be bound without configuration.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// The ports of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ports {
    pub data_plane: u16,
    pub readiness: u16,
    pub control_plane: u16,
    pub provider: u16,
    pub ephemeral: (u16, u16),
}

impl Ports {
    fn from(base: u16) -> Ports {
        Ports {
            data_plane: base,
            readiness: base + 2,
            control_plane: base + 6,
            provider: base + 9,
            ephemeral: (base + 20, base + 35),
        }
    }
}

/// Reserves 127.x.y.0/24 until it is dropped: no other `Net` on this machine gets the same network.
pub struct Net {
    x: u8,
    y: u8,
    pub ports: Ports,
    _reservation: TcpListener,
}

// Last bytes of addresses; the first one where there are several machines of a kind.
const FIRST_EDGE: u8 = 11;
const FIRST_CORE: u8 = 51;
const PROVIDER_HOST: u8 = 100;
const FIRST_WORKER_HOST: u8 = 101;
const GUARD_HOST: u8 = 250;
/// Bound at `GUARD_HOST` while the network is reserved, independent of the deployment's ports.
const RESERVATION_PORT: u16 = 17_999;

impl Net {
    /// Reserves a free network; `seed` selects where the search begins.
    pub fn free(seed: u32) -> std::io::Result<Net> {
        let mut last = std::io::ErrorKind::AddrInUse.into();
        for round in 0..64u32 {
            let n = seed.wrapping_mul(0x9e37_79b1).wrapping_add(round.wrapping_mul(0x0101)) >> 8;
            let (x, y) = (64 + (n % 190) as u8, (n / 190 % 250) as u8);
            // Below the kernel's ephemeral port range for outgoing connections.
            let ports = Ports::from([18_000, 20_000, 22_000, 8_020][round as usize % 4]);
            match Self::reserve(x, y, ports) {
                Ok(net) => return Ok(net),
                Err(why) => last = why,
            }
        }
        Err(last)
    }

    fn reserve(x: u8, y: u8, ports: Ports) -> std::io::Result<Net> {
        let at = |last: u8, port: u16| (Ipv4Addr::new(127, x, y, last), port);
        let reservation = TcpListener::bind(at(GUARD_HOST, RESERVATION_PORT))?;
        // Fails if another program listens on one of these ports on all addresses.
        for port in
            [ports.data_plane, ports.readiness, ports.control_plane, ports.provider, ports.ephemeral.0]
        {
            TcpListener::bind(at(GUARD_HOST, port))?;
        }
        std::net::UdpSocket::bind(at(GUARD_HOST, ports.ephemeral.0))?;
        std::net::UdpSocket::bind(at(GUARD_HOST, ports.ephemeral.0 + 1))?;
        Ok(Net { x, y, ports, _reservation: reservation })
    }

    fn at(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.x, self.y, last)
    }

    pub fn edge(&self, n: usize) -> Ipv4Addr {
        self.at(FIRST_EDGE + (n % 40) as u8)
    }

    pub fn core(&self, n: usize) -> Ipv4Addr {
        self.at(FIRST_CORE + (n % 40) as u8)
    }

    pub fn host(&self, n: usize) -> Ipv4Addr {
        self.at(FIRST_WORKER_HOST + (n % 100) as u8)
    }

    pub fn provider(&self) -> SocketAddr {
        (self.at(PROVIDER_HOST), self.ports.provider).into()
    }
}
