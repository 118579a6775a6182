//! Lanes: a reader and a writer that serve a request together, and the best of them by the lane score.

use std::collections::BTreeMap;

use crate::{EndpointId, EndpointSpec};

/// Overload bound on M/100 + 2Q. From the paper, 3.3.
pub(super) const TAU: f64 = 0.85;

/// Reader and writer of one request: the same where one server does both.
pub(super) type Lane = (EndpointId, EndpointId);

/// What one decision takes from all servers.
#[derive(Default)]
pub(super) struct Fleet {
    pub(super) most_streams: f64,
    pub(super) means: [[Option<f64>; 3]; 3], // mean memory, slot and queue shares that servers of each stage report
    /// Open readers and writers of each cell (0, cell) and zone (1, zone), and all (2, 0).
    pub(super) groups: BTreeMap<(u8, i64), [f64; 2]>,
}

impl Fleet {
    /// The part of a cell's readers (0) or writers (1) that have partners there, against their zone.
    pub(super) fn paired(&self, member: &EndpointSpec, stage: usize) -> f64 {
        let share = |g: (u8, i64)| {
            self.groups
                .get(&g)
                .map_or(1.0, |n| n[1 - stage] / n[stage].max(1.0))
        };
        share((0, member.cell.0)) / share((1, member.zone.0 as i64)).max(1e-9)
    }
}

/// One server as the reader or the writer of a lane: its parts of the score and of the overload bound.
#[derive(Clone, Copy)]
pub(super) struct Half {
    pub(super) endpoint: EndpointId,
    pub(super) whole: bool,
    /// Where it pairs: (0, its cell), or among the unpaired of its zone: (1, the zone).
    pub(super) group: (u8, i64),
    pub(super) cell: i64,
    pub(super) worth: f64,
    pub(super) load: f64,
    pub(super) fewest: f64, // less for more of our reads, which come first, or streams
    pub(super) fresh: bool,
    pub(super) dice: u32, // breaks ties by this dispatcher's own dice, so that blind ones do not herd
}

/// The best lane within a group, by the lane score among those that are fit, else by the fewest of ours. The
/// score is a sum of two parts, so that each reader needs but the best of the writers that its bound allows.
fn pick(rs: &[Half], ws: &[Half], level: u8, fit: bool) -> Option<Lane> {
    let key = |h: &Half| match (h.whole, level) {
        (true, _) => (2, h.endpoint.0 as i64),
        (_, 0) => h.group,
        (_, 1) => (0, h.cell),
        _ => (1, 0),
    };
    let mut groups: BTreeMap<(u8, i64), [Vec<Half>; 2]> = BTreeMap::new();
    let usable = |h: &&Half| h.fresh || !fit;
    let ranked = |h: &Half| {
        if fit {
            *h
        } else {
            Half {
                worth: h.fewest,
                load: 0.0,
                ..*h
            }
        }
    };
    rs.iter()
        .filter(usable)
        .for_each(|r| groups.entry(key(r)).or_default()[0].push(ranked(r)));
    for w in ws.iter().filter(usable) {
        groups.entry(key(w)).or_default()[1].push(ranked(w));
        if level == 0 && w.group.0 == 1 {
            groups.entry((0, w.cell)).or_default()[1].push(ranked(w));
        }
    }
    let mut lanes = Vec::new();
    for [rs, ws] in groups.values_mut() {
        ws.sort_by(|a, b| a.load.total_cmp(&b.load));
        for i in 1..ws.len() {
            let before = Half {
                load: ws[i].load,
                ..ws[i - 1]
            };
            ws[i] = if rank(&before, &ws[i]).is_gt() {
                before
            } else {
                ws[i]
            };
        }
        let within = |r: &Half| {
            ws.partition_point(|w| r.load + w.load <= TAU)
                .checked_sub(1)
        };
        let lane = |(r, w): (&Half, Half)| {
            (
                Half {
                    worth: r.worth + w.worth,
                    dice: r.dice ^ w.dice,
                    ..*r
                },
                w.endpoint,
            )
        };
        lanes.extend(rs.iter().filter_map(|r| Some(lane((r, ws[within(r)?])))));
    }
    lanes
        .iter()
        .max_by(|a, b| rank(&a.0, &b.0))
        .map(|(reader, writer)| (reader.endpoint, *writer))
}

fn rank(a: &Half, b: &Half) -> std::cmp::Ordering {
    a.worth.total_cmp(&b.worth).then(a.dice.cmp(&b.dice))
}

/// The best fit lane of the narrowest groups (across cells before overload), else the fewest of ours.
pub(super) fn best_lane(rs: &[Half], ws: &[Half], from: u8) -> Option<Lane> {
    let fit = (from..3).find_map(|level| pick(rs, ws, level, true));
    fit.or_else(|| (1..3).find_map(|level| pick(rs, ws, level, false)))
}
