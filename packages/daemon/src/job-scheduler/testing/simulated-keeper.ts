import { applyCommand } from "@daisylock/core/control/apply-command.js";
import type { CommandResults } from "@daisylock/core/control/command-results.js";
import type { ControlCommand } from "@daisylock/core/control/control-command.js";
import type { ControlState } from "@daisylock/core/control/control-state.js";
import { computeNextTerm } from "@daisylock/core/raft/compute-next-term.js";
import Result from "true-myth/result";

import type { Clock } from "../../clock/clock.js";
import { ProposeFailureKind } from "../../request-proxy/keeper/propose-failure-kind.js";
import type { ProposeFailure } from "../../request-proxy/keeper/propose-failure.js";
import { FakeKeeper } from "./fake-keeper.js";

/** Bounds of the time until a command is committed, milliseconds. */
const minCommitMs = 1;
const maxCommitMs = 25;
/** Time between two attempts to commit while the leader lease has lapsed, milliseconds. */
const retryDelayMs = 10;

interface PendingCommand {
    readonly commit: () => void;
    /** Reports that the command may or may not be committed. */
    readonly settleUnknown: () => void;
}

/** A keeper that commits commands in order after a delay, and whose lease lapses and term changes. */
export class SimulatedKeeper extends FakeKeeper {
    /** Probability that a command is refused because the keeper is busy. */
    busyProbability = 0;
    /** Probability that the outcome of a committed command is not known. */
    unknownProbability = 0;
    private readonly log: PendingCommand[] = [];
    /** Number of lapses that have not ended. */
    private lapseCount = 0;

    /**
     * @param state - the replicated state, which commands change
     * @param clock - clock of the simulation
     * @param random - returns numbers from 0 to below 1
     */
    constructor(state: ControlState, private readonly clock: Clock, private readonly random: () => number) {
        super(state);
    }

    override sendCommand<Command extends ControlCommand>(
        source: Command | (() => Command),
    ): Promise<Result<CommandResults[Command["kind"]], ProposeFailure>> {
        if (this.random() < this.busyProbability) {
            return Promise.resolve(Result.err({ kind: ProposeFailureKind.Busy }));
        }
        const isUnknown = this.random() < this.unknownProbability;
        return new Promise(resolve => {
            const entry: PendingCommand = {
                commit: () => {
                    const command = typeof source === "function" ? source() : source;
                    const result = applyCommand(this.state, command);
                    resolve(isUnknown ? Result.err({ kind: ProposeFailureKind.Unknown }) : Result.ok(result));
                },
                settleUnknown: () => resolve(Result.err({ kind: ProposeFailureKind.Unknown })),
            };
            this.log.push(entry);
            this.scheduleCommit(entry, minCommitMs + this.random() * (maxCommitMs - minCommitMs));
        });
    }

    /**
     * Lets the leader lease lapse within the term. No command is committed meanwhile.
     * @param forMs - duration, milliseconds
     */
    startLapse(forMs: number): void {
        this.lapseCount += 1;
        this.isLeaseValid = false;
        this.clock.schedule(forMs, () => {
            this.lapseCount -= 1;
            this.isLeaseValid = this.lapseCount === 0;
        });
    }

    /**
     * Lets this keeper lose its leadership and win the next election. Some of the commands in flight are committed.
     * @param forMs - time without a leader, milliseconds
     */
    startTerm(forMs: number): void {
        this.term = computeNextTerm(this.term);
        const pending = this.log.splice(0);
        const committedCount = Math.floor(this.random() * (pending.length + 1));
        pending.forEach((entry, index) => {
            entry.settleUnknown();
            if (index < committedCount) {
                entry.commit();
            }
        });
        this.ledSince = this.clock.readMonotonic() + forMs;
        this.startLapse(forMs);
    }

    private scheduleCommit(entry: PendingCommand, delayMs: number): void {
        this.clock.schedule(delayMs, () => {
            const position = this.log.indexOf(entry);
            if (position >= 0 && !this.isLeaseValid) {
                this.scheduleCommit(entry, retryDelayMs);
                return;
            }
            this.log.splice(0, position + 1).forEach(({ commit }) => commit());
        });
    }
}
