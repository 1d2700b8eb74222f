/**
 * Builds the name under which an entry holds grants. It contains the incarnation, so that grants from before a restart
 * remain separate: targets may still run requests for them.
 * @param entry - name of the entry
 * @param incarnation - identifies the start of the entry's process
 * @returns the holder's name
 */
export function buildHolderName(entry: string, incarnation: string): string {
    return `${entry}@${incarnation}`;
}
