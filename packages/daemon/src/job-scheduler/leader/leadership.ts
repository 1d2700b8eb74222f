import { CommandKind } from "@daisylock/core/control/command-kind.js";
import type { CommandResults } from "@daisylock/core/control/command-results.js";
import type { ControlCommand } from "@daisylock/core/control/control-command.js";
import type { FleetState } from "@daisylock/core/fleet/fleet-state.js";
import type { LeaderReply } from "@daisylock/protocol/fleet/leader-reply.js";

import type { Clock } from "../../clock/clock.js";
import type { Keeper } from "../../request-proxy/keeper/keeper.js";
import type { LeaseAges } from "../../request-proxy/keeper/lease-ages.js";
import { ProposeFailureKind } from "../../request-proxy/keeper/propose-failure-kind.js";

/**
 * Time from the start of a leadership for which a new cluster waits for all its voters, milliseconds. After it, a cluster
 * of which a keeper never came serves with fewer.
 */
const foundingWaitMs = 5_000;

/** The founding of a cluster. */
interface Founding {
    /** Number of voters that the cluster is to have. */
    readonly voterCount: number;
    readonly clock: Clock;
}

/** Leadership state and command log of this process, shared by the leader components. */
export class Leadership {
    /**
     * @param keeper - the keeper (control-plane replica) of this process
     * @param minVoters - number of voters below which no command is accepted, so that accepted commands are never
     *     stored on one disk only
     * @param founding - number of voters for which a cluster without a configuration waits first, so that the loss of a disk
     *     right after its first acknowledgement leaves a quorum; without it, it does not wait
     */
    constructor(
        private readonly keeper: Pick<
            Keeper,
            | "isActiveLeader"
            | "readLeaseAges"
            | "readControl"
            | "readView"
            | "readTerm"
            | "countVoters"
            | "sendCommand"
        >,
        private readonly minVoters: number,
        private readonly founding?: Founding,
    ) {}

    /**
     * Tells whether this process is the active leader.
     * @returns true while it holds a valid leader lease and the cluster has enough voters
     */
    isActive(): boolean {
        return this.keeper.isActiveLeader() && this.keeper.countVoters() >= this.minVoters && !this.isFounding();
    }

    /**
     * Reads the ages of what the leader lease rests on.
     * @returns the ages, which tell why it is not valid
     */
    readLeaseAges(): LeaseAges {
        return this.keeper.readLeaseAges();
    }

    /**
     * Reads the replicated state as applied by this keeper.
     * @returns the fleet state, which must not be modified
     */
    readFleet(): FleetState {
        return this.keeper.readControl().fleet;
    }

    /**
     * Reads the fencing token of this leadership.
     * @returns the term of the replicated log, which increases with each leader; 0 until the keeper has loaded its disk
     */
    readFencingToken(): number {
        return this.keeper.readTerm();
    }

    /**
     * Lists the voting keepers.
     * @returns their peer addresses
     */
    listVoters(): readonly string[] {
        return Object.values(this.keeper.readView()?.members.voters ?? {});
    }

    /**
     * Reads when this leadership began.
     * @returns monotonic milliseconds; 0 until the keeper has loaded its disk
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
     * Commits a command that is built when the replicated log takes it.
     * @param buildCommand - builds the command; not called when it is refused before
     * @returns its result, or `undefined` when it may not have been committed
     */
    async scheduleCommand<Command extends ControlCommand>(
        buildCommand: () => Command,
    ): Promise<CommandResults[Command["kind"]] | undefined> {
        const result = await this.keeper.sendCommand(buildCommand);
        return result.isOk ? result.value : undefined;
    }

    /**
     * Serves a call if this process is the active leader.
     * @param computeReply - computes the reply; `undefined` when the result is not certain
     * @returns the reply, or a not-leader reply with the presumed leader
     */
    async serveCall<Value>(computeReply: () => Promise<Value | undefined>): Promise<LeaderReply<Value>> {
        if (!this.isActive()) {
            return this.buildNotLeaderReply(false);
        }
        const value = await computeReply();
        return value === undefined ? this.buildNotLeaderReply(true) : { isLeader: true, value };
    }

    /**
     * Commits a command and replies with its result.
     * @param command - the command
     * @returns the result, or a not-leader reply that tells whether the command may still be committed
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
     * Confirms that this process still leads and has applied all committed commands. Required before a "not found"
     * reply: a leader that has been replaced without noticing it lacks what its successor has accepted.
     * @returns false when this cannot be confirmed
     */
    async confirmLeadership(): Promise<boolean> {
        return this.isActive() && await this.recordCommand({ kind: CommandKind.ConfirmLeadership }) === true;
    }

    private isFounding(): boolean {
        return this.founding !== undefined
            && this.keeper.countVoters() < this.founding.voterCount
            && this.readFleet().configuration === undefined
            && this.founding.clock.readMonotonic() - this.readStartedAt() < foundingWaitMs;
    }

    private buildNotLeaderReply(mayHaveRun: boolean): LeaderReply<never> {
        const view = this.keeper.readView();
        const leader = view?.leader === view?.id ? undefined : view?.leaderAddress;
        return { isLeader: false, leader, mayHaveRun };
    }
}
