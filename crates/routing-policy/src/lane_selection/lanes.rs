//! Lanes, which are pairs of a prefill and a decode endpoint that serve a request together, and the
//! choice of the best lane.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use super::score::{LaneCandidate, OVERLOAD_BOUND};
use crate::ids::{CellId, EndpointId, ZoneId};

/// The endpoints that serve a request. They are the same if one endpoint serves it alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Lane {
    pub(crate) prefill: EndpointId,
    pub(crate) decode: EndpointId,
}

/// A group of endpoints that may be paired with one another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PairingGroup {
    /// The endpoints of a cell.
    Cell(CellId),
    /// The endpoints of a zone that are not paired within their cells.
    Zone(ZoneId),
    /// All endpoints.
    All,
    /// A single endpoint that serves requests alone. The order is by its id as a signed number.
    Alone(i64),
}

/// Limit on how far apart the endpoints of a lane may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PairingScope {
    /// Both endpoints of a lane are in the same [`LaneCandidate::group`]. A decode endpoint whose
    /// group is its zone is also paired with prefill endpoints whose group is its cell.
    Narrowest,
    /// Both endpoints of a lane are in the same cell.
    Cell,
    /// The endpoints of a lane may be anywhere.
    Any,
}

impl PairingScope {
    const ALL: [PairingScope; 3] = [
        PairingScope::Narrowest,
        PairingScope::Cell,
        PairingScope::Any,
    ];

    fn group_of(self, candidate: &LaneCandidate) -> PairingGroup {
        if candidate.serves_alone {
            return PairingGroup::Alone(candidate.endpoint.0 as i64);
        }
        match self {
            PairingScope::Narrowest => candidate.group,
            PairingScope::Cell => PairingGroup::Cell(candidate.cell),
            PairingScope::Any => PairingGroup::All,
        }
    }
}

/// The rule by which candidates take part and are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Selection {
    /// Candidates with fresh loads in lanes that are not overloaded, compared by the lane score.
    BestScore,
    /// All candidates, compared by the fewest requests of this router.
    FewestRequests,
}

impl Selection {
    fn includes(self, candidate: &LaneCandidate) -> bool {
        self == Selection::FewestRequests || candidate.is_fresh
    }

    /// Returns a candidate with the score and load by which this rule compares it.
    fn ranked(self, candidate: &LaneCandidate) -> LaneCandidate {
        match self {
            Selection::BestScore => *candidate,
            Selection::FewestRequests => LaneCandidate {
                score: candidate.negated_requests,
                load: 0.0,
                ..*candidate
            },
        }
    }
}

/// The candidates of one group.
#[derive(Debug, Default)]
struct Group {
    prefill: Vec<LaneCandidate>,
    decode: Vec<LaneCandidate>,
}

/// A lane with its score and its tie breaker, each combined from both sides.
struct ScoredLane {
    lane: Lane,
    score: f64,
    tie_breaker: u32,
}

impl ScoredLane {
    fn new(prefill: &LaneCandidate, decode: &LaneCandidate) -> ScoredLane {
        ScoredLane {
            lane: Lane {
                prefill: prefill.endpoint,
                decode: decode.endpoint,
            },
            score: prefill.score + decode.score,
            tie_breaker: prefill.tie_breaker ^ decode.tie_breaker,
        }
    }

    fn compare(&self, other: &ScoredLane) -> Ordering {
        compare_scores(
            (self.score, self.tie_breaker),
            (other.score, other.tie_breaker),
        )
    }
}

fn compare_scores(a: (f64, u32), b: (f64, u32)) -> Ordering {
    a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))
}

impl Group {
    /// Returns the best lane for each prefill candidate. As the score of a lane is the sum of its
    /// two sides, this is the lane with the best of those decode candidates with which the load of
    /// the lane stays within [`OVERLOAD_BOUND`].
    fn lanes(&mut self) -> Vec<ScoredLane> {
        self.decode.sort_by(|a, b| a.load.total_cmp(&b.load));
        let best_up_to = best_up_to_each_load(&self.decode);
        let mut lanes = Vec::new();
        for prefill in &self.prefill {
            let within_bound =
                best_up_to.partition_point(|decode| prefill.load + decode.load <= OVERLOAD_BOUND);
            if let Some(last) = within_bound.checked_sub(1) {
                lanes.push(ScoredLane::new(prefill, &best_up_to[last]));
            }
        }
        lanes
    }
}

/// Takes candidates in ascending order of load. Returns for each load the best of the candidates up
/// to that load.
fn best_up_to_each_load(ordered: &[LaneCandidate]) -> Vec<LaneCandidate> {
    let mut best_up_to: Vec<LaneCandidate> = Vec::with_capacity(ordered.len());
    for candidate in ordered {
        let best = match best_up_to.last() {
            Some(previous) if previous.compare(candidate).is_gt() => LaneCandidate {
                load: candidate.load,
                ..*previous
            },
            _ => *candidate,
        };
        best_up_to.push(best);
    }
    best_up_to
}

impl LaneCandidate {
    fn compare(&self, other: &LaneCandidate) -> Ordering {
        compare_scores(
            (self.score, self.tie_breaker),
            (other.score, other.tie_breaker),
        )
    }
}

/// Returns the best lane that a scope allows among the candidates that the selection includes.
fn best_within(
    prefill: &[LaneCandidate],
    decode: &[LaneCandidate],
    scope: PairingScope,
    selection: Selection,
) -> Option<Lane> {
    let mut groups: BTreeMap<PairingGroup, Group> = BTreeMap::new();
    for candidate in prefill {
        if selection.includes(candidate) {
            let group = groups.entry(scope.group_of(candidate)).or_default();
            group.prefill.push(selection.ranked(candidate));
        }
    }
    for candidate in decode {
        if !selection.includes(candidate) {
            continue;
        }
        let ranked = selection.ranked(candidate);
        let group = groups.entry(scope.group_of(candidate)).or_default();
        group.decode.push(ranked);
        let is_unpaired = matches!(candidate.group, PairingGroup::Zone(_));
        if scope == PairingScope::Narrowest && is_unpaired {
            let cell = PairingGroup::Cell(candidate.cell);
            groups.entry(cell).or_default().decode.push(ranked);
        }
    }
    let lanes = groups.values_mut().flat_map(Group::lanes);
    let best = lanes.max_by(ScoredLane::compare)?;
    Some(best.lane)
}

/// Returns the lane with the best score in the narrowest scope, from `first_scope` on, that has a
/// lane with fresh loads that is not overloaded. If no scope has one, returns the lane with the
/// fewest requests of this router. Lanes across cells are thus preferred to overloaded ones.
pub(crate) fn best_lane(
    prefill: &[LaneCandidate],
    decode: &[LaneCandidate],
    first_scope: PairingScope,
) -> Option<Lane> {
    let scopes = PairingScope::ALL
        .into_iter()
        .filter(|scope| *scope >= first_scope);
    for scope in scopes {
        let lane = best_within(prefill, decode, scope, Selection::BestScore);
        if lane.is_some() {
            return lane;
        }
    }
    [PairingScope::Cell, PairingScope::Any]
        .into_iter()
        .find_map(|scope| best_within(prefill, decode, scope, Selection::FewestRequests))
}
