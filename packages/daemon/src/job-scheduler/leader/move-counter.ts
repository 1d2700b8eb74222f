import type { VmMove } from "@daisylock/core/pools/vm-move.js";

/** Planned moves of one pool. */
interface MoveCounts {
    /** Moves to the pool. */
    readonly movesIn: number;
    /** Moves from the pool to others that are not spare. */
    readonly movesLent: number;
    /** Moves from the pool to a spare pool. */
    readonly movesReturned: number;
}

/** Counts planned moves by pool, from one reading to the next. */
export class MoveCounter {
    private moves: VmMove[] = [];

    /**
     * Records planned moves.
     * @param moves - the moves
     */
    noteMoves(moves: readonly VmMove[]): void {
        this.moves.push(...moves);
    }

    /**
     * Ends the interval and begins the next one.
     * @param pools - names of the pools
     * @param isSpare - tells whether a pool is spare
     * @returns the counts of the interval that ends, by pool
     */
    takeCounts(pools: readonly string[], isSpare: (pool: string) => boolean): ReadonlyMap<string, MoveCounts> {
        const { moves } = this;
        this.moves = [];
        const count = (isCounted: (move: VmMove) => boolean) => moves.filter(isCounted).length;
        return new Map(pools.map(pool => [pool, {
            movesIn: count(({ to }) => to === pool),
            movesLent: count(({ from, to }) => from === pool && !isSpare(to)),
            movesReturned: count(({ from, to }) => from === pool && isSpare(to)),
        }]));
    }
}
