import { timingSafeEqual } from "node:crypto";

import { ObjectKind } from "../tables/object-kind.js";
import type { Tables } from "../tables/tables.js";
import { computeKeyDigest } from "./compute-key-digest.js";
import { parseKey } from "./parse-key.js";

const absentKey = { team: "", salt: "00".repeat(16), digest: "00".repeat(32) };

/**
 * Finds the team whose key was presented. Takes the same steps for a known and an unknown key.
 * @param tables - the tables that hold the granted keys
 * @param text - the presented key
 * @returns the team, or `undefined` when the key is malformed, unknown or revoked
 */
export function verifyKey(tables: Tables, text: string): string | undefined {
    const presented = parseKey(text);
    const record = tables.objects[ObjectKind.Key].get(presented?.id ?? "")?.value;
    const { salt, digest } = record ?? absentKey;
    const computed = computeKeyDigest(salt, presented?.secret ?? "");
    const isEqual = timingSafeEqual(Buffer.from(computed, "hex"), Buffer.from(digest, "hex"));
    return isEqual ? record?.team : undefined;
}
