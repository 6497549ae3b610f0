//! The settings of a process: the TOML file that `TINDOCK_BOOT` names. Unknown fields are ignored.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The variable that holds the file's path.
pub const SETTINGS_VARIABLE: &str = "TINDOCK_BOOT";

#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    pub node_name: String,
    #[serde(default)]
    pub serves: Vec<String>,
    pub ip_address: IpAddr,
    pub zone: String,
    pub region: String,
    pub ephemeral_ports: (u16, u16),
    #[serde(default)]
    pub seed_peers: Vec<SocketAddr>,
    #[serde(default)]
    pub initial_boot: bool,
    #[serde(default)]
    pub quorum_member: bool,
    pub data_directory: Option<PathBuf>,
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    #[serde(default)]
    pub bindings: Bindings,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    pub timers: Timers,
    pub provider_api: Option<Provider>,
    #[serde(default)]
    pub rebinding: Rebinding,
    #[serde(default)]
    pub operators: Operators,
    /// Which configuration wins, by the name of the mode; see [`Settings::config_mode`].
    #[serde(default)]
    config_mode: Option<String>,
}

/// Which of several configurations wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigMode {
    /// The one with the highest revision.
    Highest,
}

/// Used in place of an unknown mode.
pub const STRICTEST_CONFIG_MODE: ConfigMode = ConfigMode::Highest;

/// How operators' calls are answered.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operators {
    #[serde(default)]
    pub conflict: ConflictAnswer,
}

/// The answer to a configuration whose revision is in force with another text.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ConflictAnswer {
    /// 409, with the revision and digest in force.
    #[default]
    Refuse,
    /// 200 with `superseded`, and the revision and digest in force.
    Acknowledge,
}

/// Which instances the controller that holds the lease may move between hosts.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rebinding {
    #[serde(default)]
    pub mode: RebindingMode,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RebindingMode {
    #[default]
    Off,
    Plan,
    Holes,
    All,
}

#[derive(Debug, Clone, Default, Deserialize)]
pub struct Bindings {
    pub data_plane: Option<SocketAddr>,
    pub readiness: Option<SocketAddr>,
    pub control_plane: Option<SocketAddr>,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Limits {
    pub memory_mb: u64,
    pub file_descriptors: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory_mb: 256, file_descriptors: 4096 }
    }
}

/// Time limits and the retry budget of the deployment, in the units of their names.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Timers {
    pub address_reuse_s: f64,
    pub contact_ms: f64,
    pub drain_ms: f64,
    pub grace_s: f64,
    pub convergence_ms: f64,
    pub retry_budget_ratio: f64,
    pub retry_window_s: f64,
    pub retry_budget_slack: f64,
    pub recovery_s: f64,
    pub shed_allowance: f64,
}

impl Default for Timers {
    fn default() -> Self {
        Timers {
            address_reuse_s: 2.0,
            contact_ms: 5000.0,
            drain_ms: 3000.0,
            grace_s: 6.0,
            convergence_ms: 3000.0,
            retry_budget_ratio: 0.2,
            retry_window_s: 10.0,
            retry_budget_slack: 10.0,
            recovery_s: 12.0,
            shed_allowance: 10.0,
        }
    }
}

#[derive(Debug, Clone, Deserialize)]
pub struct Provider {
    pub address: SocketAddr,
    #[serde(default = "default_rate")]
    pub rate_per_s: f64,
    #[serde(default)]
    pub duties: Vec<String>,
    #[serde(default)]
    pub max_lag_ms: f64,
    #[serde(default = "default_rate")]
    pub duty_rate_s: f64,
}

fn default_rate() -> f64 {
    10.0
}

/// Why the settings cannot be used.
#[derive(Debug)]
pub enum SettingsError {
    NoVariable,
    Unreadable(PathBuf, std::io::Error),
    Invalid(PathBuf, String),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::NoVariable => write!(f, "{SETTINGS_VARIABLE} names no settings file"),
            SettingsError::Unreadable(path, why) => write!(f, "{}: {why}", path.display()),
            SettingsError::Invalid(path, why) => write!(f, "{}: {why}", path.display()),
        }
    }
}

/// Seconds from the settings file as a duration; an invalid value counts as zero.
pub fn seconds(s: f64) -> Duration {
    Duration::try_from_secs_f64(s).unwrap_or_default()
}

impl Settings {
    /// Reads the file that the environment variable names.
    pub fn from_environment() -> Result<Settings, SettingsError> {
        let path = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from).ok_or(SettingsError::NoVariable)?;
        Settings::from_file(&path)
    }

    pub fn from_file(path: &Path) -> Result<Settings, SettingsError> {
        let text =
            std::fs::read_to_string(path).map_err(|why| SettingsError::Unreadable(path.into(), why))?;
        Settings::read(&text).map_err(|why| SettingsError::Invalid(path.into(), why))
    }

    /// Parses the settings; an error is one line, with its place in the file.
    pub fn read(text: &str) -> Result<Settings, String> {
        let settings: Settings =
            toml::from_str(text).map_err(|why| why.to_string().trim().replace('\n', " "))?;
        let (first, last) = settings.ephemeral_ports;
        if first == 0 || last < first.saturating_add(2) {
            return Err(format!("ephemeral_ports: three ports are needed, [{first},{last}] has fewer"));
        }
        if settings.zone.is_empty() {
            return Err("zone: is empty".into());
        }
        Ok(settings)
    }

    /// Which configuration wins, and the name in the file if that is unknown.
    pub fn config_mode(&self) -> (ConfigMode, Option<&str>) {
        match self.config_mode.as_deref() {
            None | Some("highest") => (ConfigMode::Highest, None),
            Some(unknown) => (STRICTEST_CONFIG_MODE, Some(unknown)),
        }
    }

    /// Where agents and controllers listen for one another (TCP; agents also UDP).
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip_address, self.ephemeral_ports.0)
    }

    /// Where the proxy's slot allocator listens for datagrams of other proxies.
    pub fn allocator_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip_address, self.ephemeral_ports.0 + 1)
    }

    /// Where the agent listens for the proxy beside it.
    pub fn agent_address(&self) -> SocketAddr {
        // Simulated machines on one host have a loopback address each, and the same ports.
        let ip = if self.ip_address.is_loopback() { self.ip_address } else { Ipv4Addr::LOCALHOST.into() };
        SocketAddr::new(ip, self.ephemeral_ports.0 + 2)
    }

    /// The peer addresses of the seeds: the ports of a deployment are the same on all machines.
    pub fn seed_peers(&self) -> Vec<SocketAddr> {
        self.seed_peers.iter().map(|seed| SocketAddr::new(seed.ip(), self.ephemeral_ports.0)).collect()
    }

    /// The index of the local zone among all zones.
    pub fn zone_index(&self) -> u8 {
        self.zones_with_regions().iter().position(|(zone, _)| *zone == self.zone).unwrap_or(0) as u8
    }

    /// All zones with their regions, in an order that is the same everywhere.
    pub fn zones_with_regions(&self) -> Vec<(String, String)> {
        let mut zones = self.zones.clone();
        zones.entry(self.zone.clone()).or_insert_with(|| self.region.clone());
        zones.into_iter().collect()
    }
}
