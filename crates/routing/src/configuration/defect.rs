//! Parts of a published configuration that a daemon does not understand.

/// A part of a configuration that a daemon does not understand, and serves in the safest way or not at all.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Defect {
    /// The kind of the part.
    pub kind: Kind,
    /// The name of the part, as far as it has one.
    pub name: String,
    /// What is not understood.
    pub message: String,
}

/// The kind of a part that is not understood.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A route of an unknown type, whose requests are treated as not repeatable.
    RouteType,
    /// A route whose requests are refused.
    Route,
    /// A service that is ignored, or used with defaults for the properties that are not understood.
    Service,
    /// A limit for callers that is replaced by a default.
    Limit,
}

impl Kind {
    /// All kinds, in declaration order.
    pub const ALL: &[Self] = &[Self::RouteType, Self::Route, Self::Service, Self::Limit];

    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::RouteType => "route-type",
            Self::Route => "route",
            Self::Service => "service",
            Self::Limit => "limit",
        }
    }
}
