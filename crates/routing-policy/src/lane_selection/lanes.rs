//! Lanes: a prefill and a decode endpoint that serve a request together, and the best of them.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use super::score::{LaneCandidate, OVERLOAD_BOUND};
use crate::ids::{CellId, EndpointId, ZoneId};

/// The endpoints that serve a request; the same where one endpoint does both.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Lane {
    pub(crate) prefill: EndpointId,
    pub(crate) decode: EndpointId,
}

/// Endpoints that may be paired with one another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PairingGroup {
    /// Those of a cell.
    Cell(CellId),
    /// Those of a zone that are not paired within their cells.
    Zone(ZoneId),
    /// All of them.
    All,
    /// An endpoint that serves alone; ordered by its id as a signed number.
    Alone(i64),
}

/// How far apart the endpoints of a lane may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PairingScope {
    /// Within the candidates' own groups.
    Narrowest,
    /// Within cells.
    Cell,
    /// Anywhere.
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

/// Which candidates take part, and how they are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Selection {
    /// Those with fresh loads, whose lane is not overloaded, by the lane score.
    Fit,
    /// All, by the fewest requests of this router.
    Fewest,
}

impl Selection {
    fn includes(self, candidate: &LaneCandidate) -> bool {
        self == Selection::Fewest || candidate.is_fresh
    }

    fn ranked(self, candidate: &LaneCandidate) -> LaneCandidate {
        match self {
            Selection::Fit => *candidate,
            Selection::Fewest => LaneCandidate {
                score: candidate.spare,
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

/// A lane with the sums of its sides.
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
    /// The best lane for each prefill side. The score of a lane is a sum of two parts, so that each
    /// prefill side needs only the best of the decode sides that its load leaves within the bound.
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

/// For candidates in the order of their loads: at each load, the best candidate with no more than
/// that.
fn best_up_to_each_load(ordered: &[LaneCandidate]) -> Vec<LaneCandidate> {
    let mut best_up_to: Vec<LaneCandidate> = Vec::with_capacity(ordered.len());
    for candidate in ordered {
        let best = match best_up_to.last() {
            Some(before) if before.compare(candidate).is_gt() => LaneCandidate {
                load: candidate.load,
                ..*before
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

/// The best lane within the groups of a scope.
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

/// The best fit lane within the narrowest groups that have one, from a scope on; else the one with
/// the fewest requests of this router. Lanes are taken across cells before overloaded ones are.
pub(crate) fn best_lane(
    prefill: &[LaneCandidate],
    decode: &[LaneCandidate],
    from: PairingScope,
) -> Option<Lane> {
    let scopes = PairingScope::ALL.into_iter().filter(|scope| *scope >= from);
    for scope in scopes {
        let lane = best_within(prefill, decode, scope, Selection::Fit);
        if lane.is_some() {
            return lane;
        }
    }
    [PairingScope::Cell, PairingScope::Any]
        .into_iter()
        .find_map(|scope| best_within(prefill, decode, scope, Selection::Fewest))
}
