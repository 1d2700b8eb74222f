import type { PlacementTarget } from "./placement-target.js";

/**
 * Computes how many more targets of each pool may be put in quarantine.
 * @param pools - the targets by pool
 * @param share - largest share of a pool's targets in quarantine; a small pool may have one in any case
 * @returns number of targets by pool; not positive where none may be added
 */
export function computeQuarantineQuotas(
    pools: ReadonlyMap<string, readonly PlacementTarget[]>,
    share: number,
): Map<string, number> {
    return new Map(
        [...pools].map(([pool, targets]) => {
            const quarantinedCount = targets.filter(({ isQuarantined }) => isQuarantined).length;
            return [pool, Math.max(1, Math.floor(targets.length * share)) - quarantinedCount];
        }),
    );
}
