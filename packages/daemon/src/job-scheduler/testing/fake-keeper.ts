import { applyCommand } from "@daisylock/core/control/apply-command.js";
import type { CommandResults } from "@daisylock/core/control/command-results.js";
import type { ControlCommand } from "@daisylock/core/control/control-command.js";
import type { ControlState } from "@daisylock/core/control/control-state.js";
import { RaftRole } from "@daisylock/core/raft/raft-role.js";
import Result from "true-myth/result";

import type { KeeperView } from "../../request-proxy/keeper/keeper-view.js";
import type { Keeper } from "../../request-proxy/keeper/keeper.js";
import type { LeaseAges } from "../../request-proxy/keeper/lease-ages.js";
import type { ProposeFailureKind } from "../../request-proxy/keeper/propose-failure-kind.js";
import type { ProposeFailure } from "../../request-proxy/keeper/propose-failure.js";

/** A leading keeper that applies commands at once, and whose lease and commits a test controls. */
export class FakeKeeper implements
    Pick<
        Keeper,
        | "isActiveLeader"
        | "readLeaseAges"
        | "readControl"
        | "readView"
        | "readTerm"
        | "countVoters"
        | "sendCommand"
    >
{
    isLeaseValid = true;
    term = 1;
    /** When this leadership began, monotonic milliseconds. */
    ledSince = 0;
    /** Called before each command; it is applied unless a failure is returned. */
    refuseCommand: (command: ControlCommand) => ProposeFailureKind | undefined = () => undefined;
    readonly commands: ControlCommand[] = [];

    /**
     * Reads the term of the replicated log.
     * @returns the term
     */
    readTerm(): number {
        return this.readView().term;
    }

    /**
     * Counts the voting keepers.
     * @returns the number of voters
     */
    countVoters(): number {
        return Object.keys(this.readView().members.voters).length;
    }

    /**
     * @param state - the replicated state, which commands change
     */
    constructor(protected readonly state: ControlState) {}

    isActiveLeader(): boolean {
        return this.isLeaseValid;
    }

    readLeaseAges(): LeaseAges {
        return { quorumMs: 0, resumeMs: undefined };
    }

    readControl(): ControlState {
        return this.state;
    }

    readView(): KeeperView {
        const { term, ledSince } = this;
        return {
            id: "k0",
            role: RaftRole.Leader,
            term,
            leader: "k0",
            leaderAddress: "k0",
            members: { voters: { k0: "k0" }, learners: {} },
            commitIndex: 0,
            lastIndex: 0,
            matchIndexes: {},
            silentMs: {},
            ledSince,
        };
    }

    async sendCommand<Command extends ControlCommand>(
        source: Command | (() => Command),
    ): Promise<Result<CommandResults[Command["kind"]], ProposeFailure>> {
        const command = typeof source === "function" ? source() : source;
        this.commands.push(command);
        const kind = this.refuseCommand(command);
        return kind === undefined ? Result.ok(applyCommand(this.state, command)) : Result.err({ kind });
    }
}
