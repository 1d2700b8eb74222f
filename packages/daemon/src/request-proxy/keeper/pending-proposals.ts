import type { CommandResults } from "@daisylock/core/control/command-results.js";
import type { LogEntry } from "@daisylock/core/raft/log-entry.js";
import Result from "true-myth/result";

import { ProposeFailureKind } from "./propose-failure-kind.js";
import type { ProposeFailure } from "./propose-failure.js";

type Resolve = (result: Result<CommandResults[keyof CommandResults], ProposeFailure>) => void;

/** Proposals whose log entries are not applied yet. */
export class PendingProposals {
    private readonly proposalsByIndex = new Map<number, { readonly term: number; readonly resolve: Resolve }>();
    /** Term of the proposals. */
    private term = 0;

    /**
     * Adds a proposal. Those of an earlier term are resolved first, as their entries may have been replaced.
     * @param index - index of its log entry
     * @param term - term of its log entry
     * @param resolve - called with the result
     */
    add(index: number, term: number, resolve: Resolve): void {
        if (term !== this.term) {
            this.settleAll();
            this.term = term;
        }
        this.proposalsByIndex.set(index, { term, resolve });
    }

    /**
     * Resolves the proposal at the index of an applied entry. An entry of another term has replaced the proposed one,
     * which is then certainly not committed.
     * @param entry - the applied entry
     * @param term - current term
     * @param result - result of the command; `undefined` when the entry is not a command
     */
    settle(entry: LogEntry, term: number, result: CommandResults[keyof CommandResults] | undefined): void {
        const proposal = this.proposalsByIndex.get(entry.index);
        if (proposal === undefined) {
            return;
        }
        this.proposalsByIndex.delete(entry.index);
        if (proposal.term === entry.term && proposal.term <= term && result !== undefined) {
            proposal.resolve(Result.ok(result));
            return;
        }
        proposal.resolve(Result.err({ kind: ProposeFailureKind.NotLeader }));
    }

    /** Resolves every proposal with the failure that its command may or may not be committed. */
    settleAll(): void {
        for (const proposal of this.proposalsByIndex.values()) {
            proposal.resolve(Result.err({ kind: ProposeFailureKind.Unknown }));
        }
        this.proposalsByIndex.clear();
    }
}
