import canonicalize from "canonicalize";
import { createHash } from "node:crypto";

import type { TableEdit } from "./table-edit.js";

/**
 * Computes the digest of the tables after a change, chained to the digest before it.
 * @param previous - digest before the change
 * @param revision - revision after the change
 * @param edits - the edits of the change
 * @returns the first 32 hexadecimal digits of the SHA-256 hash
 */
export function computeTableDigest(previous: string, revision: number, edits: readonly TableEdit[]): string {
    const content = canonicalize(JSON.parse(JSON.stringify(edits))) ?? "";
    return createHash("sha256").update(`${previous}\n${revision}\n${content}`).digest("hex").slice(0, 32);
}
