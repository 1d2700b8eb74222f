import type { PresentedKey } from "./presented-key.js";

/** The prefix `dlk`, the key id and the secret, separated by underscores. */
const keyPattern = /^dlk_([a-z0-9][a-z0-9._-]{0,62})_([A-Za-z0-9-]{20,64})$/;

/**
 * Parses the text of a key.
 * @param text - for example `dlk_front-desk_3Jk...`
 * @returns id and secret; `undefined` when the text is malformed
 */
export function parseKey(text: string): PresentedKey | undefined {
    const match = keyPattern.exec(text);
    return match === null ? undefined : { id: match[1] ?? "", secret: match[2] ?? "" };
}
