import type { LogEntry } from "@daisylock/core/raft/log-entry.js";

/** Thrown for a committed entry of the replicated log that can't be applied. */
export class ApplyFailure extends Error {
    override readonly name = "ApplyFailure";

    /**
     * @param entry - the entry; of its payload, only the kind of the command is in the message, which is logged
     * @param cause - error with which applying it ended
     */
    constructor({ index, term, payload }: LogEntry, override readonly cause: unknown) {
        const kind = /^\{"kind":"([\w-]{1,40})"/.exec(payload)?.[1] ?? "unknown";
        super(`entry ${index} of term ${term}, a command of kind ${kind}, cannot be applied: ${String(cause)}`);
    }
}
