import { tokensPerTerm } from "../raft/tokens-per-term.js";

/**
 * Fencing tokens of one leadership. Requests name a target by its id only, so that a target that starts again under its id
 * may execute requests that were meant for its earlier incarnation. Each session with a target has a higher token than the
 * one before: once the target has answered a request of the newest session, it refuses those of all earlier ones.
 */
export class FencingTokens {
    private readonly tokens = new Map<string, number>();

    /**
     * @param term - term of the leadership
     */
    constructor(private readonly term: number) {}

    /**
     * Takes the token of a new session with a target.
     * @param id - id of the target
     * @returns the token; the last one of the term for all sessions beyond as many
     */
    takeNext(id: string): number {
        const last = this.tokens.get(id);
        const token = last === undefined ? this.term : Math.min(last + 1, this.term + tokensPerTerm - 1);
        this.tokens.set(id, token);
        return token;
    }

    /**
     * Reads the newest token of a target.
     * @param id - id of the target
     * @returns the token; that of a first session while there was none
     */
    read(id: string): number {
        return this.tokens.get(id) ?? this.term;
    }

    /**
     * Tells whether there was a session with a target.
     * @param id - id of the target
     * @returns false before the first one of this leadership
     */
    isUsed(id: string): boolean {
        return this.tokens.has(id);
    }
}
