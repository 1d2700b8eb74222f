/**
 * Builds the name under which an entry holds grants.
 * @param entry - name of the entry
 * @param incarnation - identifies the start of the entry's process
 * @returns the holder's name
 */
export function buildHolderName(entry: string, incarnation: string): string {
    return `${entry}@${incarnation}`;
}
