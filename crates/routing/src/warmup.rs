//! The requests that upstreams get while they warm up.

/// How far all daemons together may exceed the rate that a service names for upstreams that warm up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// The factor on the rate.
    pub overshoot: f64,
    /// The requests in any second beyond that.
    pub slack: f64,
}
