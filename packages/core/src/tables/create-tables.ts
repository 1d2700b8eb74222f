import { ObjectKind } from "./object-kind.js";
import type { Tables } from "./tables.js";

/**
 * Creates empty tables.
 * @returns tables at revision 0
 */
export function createTables(): Tables {
    return {
        revision: 0,
        digest: "",
        objects: {
            [ObjectKind.Route]: new Map(),
            [ObjectKind.Pool]: new Map(),
            [ObjectKind.Team]: new Map(),
            [ObjectKind.Key]: new Map(),
            [ObjectKind.Vm]: new Map(),
        },
    };
}
