import { tokensPerTerm } from "./tokens-per-term.js";

/**
 * Computes the term of the next election. Terms may rise by any amount; by this one, the numbers up to the next term are
 * left to the leader as fencing tokens.
 * @param term - current term, also of a release whose terms rise by 1
 * @returns the term
 */
export function computeNextTerm(term: number): number {
    return (Math.floor(term / tokensPerTerm) + 1) * tokensPerTerm;
}
