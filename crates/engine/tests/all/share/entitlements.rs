//! The division of a capacity by weights and demands.

use celerythread_engine::cell::share::{Claim, entitlements};

fn claims(list: &[(u64, u64)]) -> Vec<Claim> {
    list.iter().map(|(weight, demand)| Claim { weight: *weight, demand: *demand }).collect()
}

/// Weights and demands.
type Pairs<'a> = &'a [(u64, u64)];

/// Guards against shares that leave capacity unassigned, or assign more than is asked for.
#[test]
fn capacity_is_divided_by_weight_up_to_the_demand() {
    let cases: [(Pairs<'_>, u64, &[u64]); 7] = [
        (&[(1, 100), (1, 100)], 60, &[30, 30]),
        (&[(1, 10), (1, 100), (1, 100)], 60, &[10, 25, 25]),
        (&[(3, 100), (1, 100)], 60, &[45, 15]),
        (&[(3, 30), (1, 100)], 60, &[30, 30]),
        (&[(1, 10), (1, 20)], 60, &[10, 20]),
        (&[(0, 10), (1, 100)], 60, &[0, 60]),
        (&[], 60, &[]),
    ];
    for (list, capacity, expected) in cases {
        assert_eq!(entitlements(&claims(list), capacity), expected, "{list:?}");
    }
    let huge = u64::MAX;
    assert_eq!(
        entitlements(&claims(&[(huge, huge), (huge, huge)]), huge),
        [huge / 2, huge / 2 + 1]
    );
}

/// Guards against a workspace below the level of the others although it asks for more, over many
/// combinations.
#[test]
fn nobody_gets_more_while_another_below_it_asks_for_more() {
    let mut state = 1_u64;
    let mut draw = |bound: u64| {
        state =
            state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) % bound
    };
    for _ in 0..2000 {
        let list: Vec<Claim> = (0..1 + draw(8))
            .map(|_| Claim { weight: 1 + draw(50), demand: draw(100_000) })
            .collect();
        let capacity = draw(300_000);
        let amounts = entitlements(&list, capacity);
        let (sum, asked) =
            (amounts.iter().sum::<u64>(), list.iter().map(|claim| claim.demand).sum());
        assert!(sum <= capacity && sum + list.len() as u64 >= capacity.min(asked));
        for (claim, amount) in list.iter().zip(&amounts) {
            assert!(*amount <= claim.demand);
            for (other, more) in list.iter().zip(&amounts).filter(|_| *amount < claim.demand) {
                // Amounts are rounded down, which is passed on to the claims that follow.
                let slack = (list.len() as u64 + 1) * 51 * 51;
                assert!(
                    more * claim.weight <= amount * other.weight + slack,
                    "{list:?} {amounts:?}"
                );
            }
        }
    }
}
