import type { TargetRecord } from "./target-record.js";
import type { TargetTable } from "./target-table.js";

type TargetsByPool = ReadonlyMap<string, readonly TargetRecord[]>;

/** Targets by pool at a version of their table. */
interface PoolIndex {
    readonly version: number;
    readonly targetsByPool: TargetsByPool;
}

const indexes = new WeakMap<TargetTable, PoolIndex>();

/**
 * Reads the targets by pool. They are collected again only when a target has changed.
 * @param targets - all targets
 * @returns the targets of each pool that has any, in the order of the table
 */
export function readTargetsByPool(targets: TargetTable): TargetsByPool {
    const version = targets.readVersion();
    const known = indexes.get(targets);
    if (known?.version === version) {
        return known.targetsByPool;
    }
    const targetsByPool = collectTargetsByPool(targets);
    indexes.set(targets, { version, targetsByPool });
    return targetsByPool;
}

function collectTargetsByPool(targets: TargetTable): TargetsByPool {
    const targetsByPool = new Map<string, TargetRecord[]>();
    for (const target of targets.values()) {
        const others = targetsByPool.get(target.pool);
        if (others === undefined) {
            targetsByPool.set(target.pool, [target]);
        }
        else {
            others.push(target);
        }
    }
    return targetsByPool;
}
