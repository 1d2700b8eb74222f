import { CommandKind } from "@daisylock/core/control/command-kind.js";
import type { CommandResults } from "@daisylock/core/control/command-results.js";
import type { ControlCommand } from "@daisylock/core/control/control-command.js";
import type { FleetState } from "@daisylock/core/fleet/fleet-state.js";
import type { LeaderReply } from "@daisylock/protocol/fleet/leader-reply.js";

import type { Keeper } from "../../request-proxy/keeper/keeper.js";
import { ProposeFailureKind } from "../../request-proxy/keeper/propose-failure-kind.js";

/** What the parts of the leader share: the keeper, and whether it may decide. */
export class Leadership {
    /**
     * @param keeper - the keeper of this process
     * @param minVoters - voters below which nothing is accepted, so that one disk alone never holds what was accepted
     */
    constructor(private readonly keeper: Keeper, private readonly minVoters: number) {}

    /**
     * Tells whether this process may decide now.
     * @returns true while it leads, with enough voters to accept anything
     */
    isActive(): boolean {
        return this.keeper.isActiveLeader() && this.listVoters().length >= this.minVoters;
    }

    /**
     * Reads the replicated state as applied here.
     * @returns the fleet state, not to be changed
     */
    readFleet(): FleetState {
        return this.keeper.readControl().fleet;
    }

    /**
     * Reads the fencing token of this leadership.
     * @returns the term of the log, which rises with each leader
     */
    readFencingToken(): number {
        return this.keeper.readView()?.term ?? 0;
    }

    /**
     * Lists the keepers that vote.
     * @returns their peer addresses
     */
    listVoters(): readonly string[] {
        return Object.values(this.keeper.readView()?.members.voters ?? {});
    }

    /**
     * Reads when this leadership began.
     * @returns monotonic milliseconds
     */
    readStartedAt(): number {
        return this.keeper.readView()?.ledSince ?? 0;
    }

    /**
     * Commits a command.
     * @param command - the command
     * @returns its result, or `undefined` when it may not have been committed
     */
    async recordCommand<Command extends ControlCommand>(
        command: Command,
    ): Promise<CommandResults[Command["kind"]] | undefined> {
        const result = await this.keeper.sendCommand(command);
        return result.isOk ? result.value : undefined;
    }

    /**
     * Answers a call if this process leads.
     * @param decide - computes the answer; `undefined` when it turns out not to be known
     * @returns the answer, or where the leader may be
     */
    async serveCall<Value>(decide: () => Promise<Value | undefined>): Promise<LeaderReply<Value>> {
        if (!this.isActive()) {
            return this.buildNotLeaderReply(false);
        }
        const value = await decide();
        return value === undefined ? this.buildNotLeaderReply(true) : { isLeader: true, value };
    }

    /**
     * Commits a command and answers with its result.
     * @param command - the command
     * @returns the result, or where the leader may be and whether the command may yet be committed
     */
    async serveCommand<Command extends ControlCommand>(
        command: Command,
    ): Promise<LeaderReply<CommandResults[Command["kind"]]>> {
        if (!this.isActive()) {
            return this.buildNotLeaderReply(false);
        }
        const result = await this.keeper.sendCommand(command);
        if (result.isOk) {
            return { isLeader: true, value: result.value };
        }
        return this.buildNotLeaderReply(result.error.kind === ProposeFailureKind.Unknown);
    }

    /**
     * Proves that this process still leads and has applied all that was committed. What says "no such thing" needs it, as
     * a leader that was overtaken unnoticed would say so of what its successor has accepted.
     * @returns false when it can't be proved
     */
    async confirmLeadership(): Promise<boolean> {
        return this.isActive() && await this.recordCommand({ kind: CommandKind.ConfirmLeadership }) === true;
    }

    private buildNotLeaderReply(mayHaveRun: boolean): LeaderReply<never> {
        const view = this.keeper.readView();
        const leader = view?.leader === view?.id ? undefined : view?.leaderAddress;
        return { isLeader: false, leader, mayHaveRun };
    }
}
