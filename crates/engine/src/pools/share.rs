//! Divides a fleet among its pools when together they ask for more machines than there are.
//!
//! A job that can't meet its objective has lost most of its value, and waits little longer with fewer
//! machines.  So machines go first to the demand that can still be in time.  Without this rule, a pool
//! with a backlog of late jobs kept three quarters of the fleet while callers of the pool whose demand
//! had just begun to rise waited with a tenth of the machines that they needed.

/// Divisor of an entitlement: a pool within this part of it neither gives nor gets machines.  A
/// machine does no work for the two seconds of a move, so small changes of demand should move none.
const TOLERANCE_DIVISOR: usize = 10;

/// What a pool asks for, in machines.  Each amount includes the ones before it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Claim {
    /// What it keeps whatever its demand.
    pub(super) min: usize,
    /// What it needs for long-running tasks and for jobs that can meet their objective.
    pub(super) timely: usize,
    /// What it needs for all its tasks.
    pub(super) total: usize,
}

/// One of the amounts of a claim.
type Amount = fn(&Claim) -> usize;

/// The machines that each pool is entitled to, in the order of the claims: all that it asks for, if
/// there are enough.
pub(super) fn entitlements(claims: &[Claim], machines: usize) -> Vec<usize> {
    let sum = |amount: Amount| claims.iter().map(amount).sum::<usize>();
    if sum(|claim| claim.total) <= machines {
        return claims.iter().map(|claim| claim.total).collect();
    }
    let (from, to): (Amount, Amount) = if sum(|claim| claim.timely) <= machines {
        (|claim| claim.timely, |claim| claim.total)
    } else {
        (|claim| claim.min, |claim| claim.timely)
    };
    let (least, most) = (sum(from), sum(to));
    let left = machines.saturating_sub(least);
    let open = (most - least).max(1);
    claims.iter().map(|claim| from(claim) + (to(claim) - from(claim)) * left / open).collect()
}

/// How far a pool may be from its entitlement before machines move.
pub(super) fn tolerance(entitlement: usize) -> usize {
    entitlement / TOLERANCE_DIVISOR
}
