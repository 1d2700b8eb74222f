/**
 * Compares the scores of two targets in order: a later score decides only where the earlier ones are equal.
 * @param a - scores of a target
 * @param b - scores of another target, as many
 * @returns negative when the first target is better
 */
export function compareScores(a: readonly number[], b: readonly number[]): number {
    const position = a.findIndex((score, index) => score !== b[index]);
    return position < 0 ? 0 : (a[position] ?? 0) - (b[position] ?? 0);
}
