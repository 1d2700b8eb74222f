import { timingSafeEqual } from "node:crypto";

import { ObjectKind } from "../tables/object-kind.js";
import type { Tables } from "../tables/tables.js";
import { computeKeyDigest } from "./compute-key-digest.js";
import { parseKey } from "./parse-key.js";

/** Compared in place of an unknown key, so that the response time does not reveal whether a key id exists. */
const placeholderKey = { team: "", salt: "00".repeat(16), digest: "00".repeat(32) };

/**
 * Verifies a presented key and finds its team. Takes the same steps for a known and an unknown key.
 * @param tables - the tables that hold the granted keys
 * @param text - the presented key
 * @returns name of the team; `undefined` when the key is malformed, unknown or revoked
 */
export function verifyKey(tables: Tables, text: string): string | undefined {
    const presented = parseKey(text);
    const record = tables.objects[ObjectKind.Key].get(presented?.id ?? "")?.value;
    const { salt, digest } = record ?? placeholderKey;
    const computed = computeKeyDigest(salt, presented?.secret ?? "");
    const isMatch = timingSafeEqual(Buffer.from(computed, "hex"), Buffer.from(digest, "hex"));
    return isMatch ? record?.team : undefined;
}
