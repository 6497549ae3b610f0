//! Record codes of the simulator's protocol.

/// Events in a batch.
pub mod event {
    pub const START: u16 = 1000;
    pub const LIST: u16 = 1010;
    pub const TASK: u16 = 1020;
    pub const STARTED: u16 = 1030;
    pub const ENDED: u16 = 1040;
    pub const CLIENT_LEFT: u16 = 1050;
    pub const TIMER: u16 = 1060;
    pub const PROBE_ENDED: u16 = 1070;
    pub const PEER_MESSAGE: u16 = 1080;
    pub const STOP: u16 = 1090;
    pub const PROGRESS: u16 = 1100;
    pub const ABOUT: u16 = 1110;
}

/// Records in a reply.
pub mod reply {
    pub const ASSIGN: u16 = 1000;
    pub const LOG: u16 = 1020;
    pub const ABANDON: u16 = 1050;
    pub const CANCEL: u16 = 1060;
    pub const PEER_MESSAGE: u16 = 1070;
    pub const TIMER: u16 = 1090;
    pub const SHED: u16 = 1100;
    pub const SUBSCRIBE: u16 = 1110;
    pub const ABOUT: u16 = 1120;
}
