import { ObjectKind } from "@daisylock/core/tables/object-kind.js";

import type { OperatorContext } from "./operator-context.js";
import type { OperatorResult } from "./operator-result.js";

/**
 * Lists all objects of the tables, without the salts and digests of keys.
 * @param context - components of the leader
 * @returns revision and digest of the tables, and the objects by kind
 */
export function handleTables(context: OperatorContext): OperatorResult {
    const { tables } = context.keeper.readControl();
    const body: Record<string, unknown> = { revision: tables.revision, digest: tables.digest };
    for (const kind of Object.values(ObjectKind)) {
        body[kind] = [...tables.objects[kind].values()].map(({ name, revision, value }) => {
            const { salt, digest, ...publicFields } = value as unknown as Record<string, unknown>;
            return { name, revision, ...publicFields };
        });
    }
    return { status: 200, body };
}
