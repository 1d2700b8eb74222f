import { ObjectKind } from "./object-kind.js";
import type { Tables } from "./tables.js";

/**
 * Encodes tables for a snapshot.
 * @param tables - the tables
 * @returns JSON text for {@link decodeTables}
 */
export function encodeTables(tables: Tables): string {
    const objects = Object.values(ObjectKind).map(kind => [kind, [...tables.objects[kind].values()]]);
    return JSON.stringify({
        revision: tables.revision,
        digest: tables.digest,
        objects: Object.fromEntries(objects) as unknown,
    });
}
