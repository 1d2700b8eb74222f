import { createTables } from "./create-tables.js";
import { ObjectKind } from "./object-kind.js";
import type { TableObject } from "./table-object.js";
import type { Tables } from "./tables.js";

/**
 * Decodes tables from a snapshot.
 * @param text - the output of encodeTables
 * @returns the tables
 */
export function decodeTables(text: string): Tables {
    const saved = JSON.parse(text) as {
        revision: number;
        digest: string;
        objects: Record<ObjectKind, TableObject[]>;
    };
    const tables = createTables();
    tables.revision = saved.revision;
    tables.digest = saved.digest;
    for (const kind of Object.values(ObjectKind)) {
        const objects = tables.objects[kind] as Map<string, TableObject>;
        for (const object of saved.objects[kind]) {
            objects.set(object.name, object);
        }
    }
    return tables;
}
