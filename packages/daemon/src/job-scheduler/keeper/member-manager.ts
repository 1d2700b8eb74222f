import { MemberChangeFault } from "@daisylock/core/raft/member-change-fault.js";
import type { Members } from "@daisylock/core/raft/members.js";
import { planMemberChange } from "@daisylock/core/raft/plan-member-change.js";
import { DepartureState } from "@daisylock/protocol/fleet/departure-state.js";
import type { LeaderReply } from "@daisylock/protocol/fleet/leader-reply.js";

import type { Clock } from "../../clock/clock.js";
import { waitFor } from "../../concurrency/wait-for.js";
import type { KeeperView } from "../../request-proxy/keeper/keeper-view.js";
import type { Keeper } from "../../request-proxy/keeper/keeper.js";
import { PeriodicWorker } from "../../supervision/periodic-worker.js";
import { DecisionKind } from "../logging/decision-kind.js";
import type { DecisionLog } from "../logging/decision-log.js";
import type { LeaderClient } from "../peers/leader-client.js";

const intervalMs = 200;
/** Time between two changes of members that belong together, milliseconds. */
const nextChangeDelayMs = 25;
/** Time without a known leader after which a keeper requests to join again, milliseconds: it may have been replaced. */
const rejoinDelayMs = 2_500;
const joinTimeoutMs = 700;
/**
 * Longest time for which a keeper waits to be replaced before it stops, milliseconds: an election and the changes of
 * members, within the time that a process has to stop.
 */
const maxDepartureMs = 2_000;
const departureTimeoutMs = 700;
const departureRetryMs = 50;
/** Time for which a leader remembers that a keeper leaves, which repeats its call until it is no voter, milliseconds. */
const leavingMemoryMs = 2_000;

/** Membership settings of a process. */
interface MembershipOptions {
    /** Peer address of this process. */
    readonly address: string;
    /** Peer addresses of the seeds. */
    readonly seeds: readonly string[];
    /** Whether the seeds bootstrap a new cluster. */
    readonly isBootstrapping: boolean;
    /** Number of voters that the cluster should have. */
    readonly voterCount: number;
}

/** Bootstraps or joins the cluster and, on the leader, replaces voters that have failed. */
export class MemberManager extends PeriodicWorker {
    override readonly name = "member-manager";
    private leaderSeenAt: number;
    /** Whether this process is about to stop. */
    private isDeparting = false;
    /** When each keeper last said that it leaves, monotonic milliseconds, by id. */
    private readonly leaving = new Map<string, number>();

    /**
     * @param keeper - the keeper (control-plane replica) of this process
     * @param leaderClient - client for calls to the leader
     * @param options - membership settings of this process
     * @param log - log of decisions
     * @param clock - clock for intervals and timeouts
     */
    constructor(
        private readonly keeper: Keeper,
        private readonly leaderClient: LeaderClient,
        private readonly options: MembershipOptions,
        private readonly log: DecisionLog,
        clock: Clock,
    ) {
        super(clock);
        this.leaderSeenAt = clock.readMonotonic();
    }

    /**
     * Handles the call of a process that searches for the leader.
     * @returns that this keeper leads, or the address of the leader if known
     */
    handleFindLeader(): Promise<LeaderReply<Record<string, never>>> {
        if (this.keeper.isActiveLeader()) {
            return Promise.resolve({ isLeader: true, value: {} });
        }
        const view = this.keeper.readView();
        const leader = view?.leader === view?.id ? undefined : view?.leaderAddress;
        return Promise.resolve({ isLeader: false, leader, mayHaveRun: false });
    }

    /**
     * Adds a keeper as a learner, which receives the log. Removes any other member with the same address: its disk no
     * longer exists, and neither do the votes and acknowledgements that it stored.
     * @param request - id of the keeper's disk and its peer address
     * @returns whether the keeper is now a member, or the address of the leader if known
     */
    async handleJoin(
        { id, address }: { id: string; address: string },
    ): Promise<LeaderReply<{ isMember: boolean }>> {
        const view = this.keeper.readView();
        if (view === undefined || !this.keeper.isActiveLeader()) {
            return { isLeader: false, leader: view?.leaderAddress, mayHaveRun: false };
        }
        const { voters, learners } = view.members;
        if (Object.hasOwn(voters, id) || Object.hasOwn(learners, id)) {
            return { isLeader: true, value: { isMember: true } };
        }
        const next: Members = {
            voters: dropAddress(voters, address),
            learners: { ...dropAddress(learners, address), [id]: address },
        };
        this.log.record(DecisionKind.MemberJoining, { id, address, term: view.term });
        const result = await this.keeper.sendMemberChange(next);
        return { isLeader: true, value: { isMember: result.isOk } };
    }

    /**
     * Handles the call of a keeper that is about to stop. Only a learner that runs can take its place.
     * @param request - id of the keeper
     * @returns whether it still votes, or the address of the leader if known
     */
    async handleDepart({ id }: { id: string }): Promise<LeaderReply<{ state: DepartureState }>> {
        const view = this.keeper.readView();
        if (view === undefined || !this.keeper.isActiveLeader()) {
            return { isLeader: false, leader: view?.leaderAddress, mayHaveRun: false };
        }
        if (!Object.hasOwn(view.members.voters, id)) {
            this.leaving.set(id, this.clock.readMonotonic());
            return { isLeader: true, value: { state: DepartureState.Removed } };
        }
        const isPending = planMemberChange({ ...this.buildMembershipView(view), leaving: new Set([id]) }) !== undefined;
        if (isPending && !this.leaving.has(id)) {
            this.log.record(DecisionKind.MemberLeaving, { id, address: view.members.voters[id], term: view.term });
        }
        if (isPending) {
            this.leaving.set(id, this.clock.readMonotonic());
            this.startRound();
        }
        return { isLeader: true, value: { state: isPending ? DepartureState.Pending : DepartureState.NoSuccessor } };
    }

    /**
     * Has this keeper, which is about to stop, replaced by a learner if one runs. Its vote would otherwise count in the
     * quorum although nobody can cast it.
     * @returns resolves when it is no voter, when nobody can replace it, or after the longest wait
     */
    async releaseVote(): Promise<void> {
        this.isDeparting = true;
        const id = this.keeper.readView()?.id;
        const endsAt = this.clock.readMonotonic() + maxDepartureMs;
        while (id !== undefined && this.clock.readMonotonic() < endsAt) {
            const reply = await this.leaderClient.send("depart", { id }, departureTimeoutMs);
            if (reply.isOk && reply.value.state === DepartureState.NoSuccessor && await this.isHandedOver()) {
                continue;
            }
            if (reply.isOk && reply.value.state !== DepartureState.Pending) {
                this.log.record(DecisionKind.MemberLeaving, { id, state: reply.value.state });
                return;
            }
            await new Promise<void>(resolve => {
                this.clock.schedule(departureRetryMs, resolve);
            });
        }
        this.log.record(DecisionKind.MemberLeaving, { id, state: "timeout", waitedMs: maxDepartureMs });
    }

    /** A leader cannot replace itself: one that was elected while it leaves first hands over the leadership. */
    private async isHandedOver(): Promise<boolean> {
        return this.keeper.isActiveLeader() && await this.keeper.startLeadershipTransfer() !== undefined;
    }

    protected override *tick(): Generator<unknown, number, unknown> {
        const view = this.keeper.readView();
        if (view === undefined) {
            return intervalMs;
        }
        const now = this.clock.readMonotonic();
        if (view.leader !== undefined) {
            this.leaderSeenAt = now;
        }
        if (this.keeper.isActiveLeader()) {
            return yield* this.updateMembers(view);
        }
        this.leaving.clear();
        if (this.isDeparting) {
            return intervalMs;
        }
        if (isBootstrapNode(this.options) && isUninitialized(view)) {
            yield* waitFor(this.keeper.startCluster(this.options.address));
        }
        else if (!isMember(view) || now - this.leaderSeenAt > rejoinDelayMs) {
            yield* waitFor(
                this.leaderClient.send("join", { id: view.id, address: this.options.address }, joinTimeoutMs),
            );
        }
        return intervalMs;
    }

    /** Makes the next change of members; returns the delay until the one after it, milliseconds. */
    private *updateMembers(view: KeeperView): Generator<unknown, number, unknown> {
        const change = planMemberChange(this.buildMembershipView(view));
        if (change === undefined) {
            return intervalMs;
        }
        const { promoted, removed, members } = change;
        const result = yield* waitFor(this.keeper.sendMemberChange(members));
        const { term } = view;
        if (result.isOk && promoted !== undefined) {
            this.log.record(DecisionKind.MemberPromoted, {
                id: promoted,
                address: view.members.learners[promoted],
                term,
            });
        }
        if (result.isOk && removed !== undefined) {
            const silentMs = Math.round(view.silentMs[removed] ?? 0);
            this.log.record(DecisionKind.MemberRemoved, { id: removed, silentMs, term });
        }
        const isSettled = result.isOk || result.error === MemberChangeFault.ChangePending;
        return isSettled ? nextChangeDelayMs : intervalMs;
    }

    private buildMembershipView(view: KeeperView): Parameters<typeof planMemberChange>[0] {
        const now = this.clock.readMonotonic();
        const isRemembered = ([, at]: readonly [string, number]): boolean => now - at < leavingMemoryMs;
        return {
            leader: view.id,
            members: view.members,
            voterCount: this.options.voterCount,
            silentMs: view.silentMs,
            leaving: new Set([...this.leaving].filter(isRemembered).map(([id]) => id)),
        };
    }
}

function dropAddress(members: Readonly<Record<string, string>>, address: string): Record<string, string> {
    return Object.fromEntries(Object.entries(members).filter(([, other]) => other !== address));
}

function isBootstrapNode({ isBootstrapping, address, seeds }: MembershipOptions): boolean {
    return isBootstrapping && [...seeds].sort()[0] === address;
}

function isUninitialized(view: KeeperView): boolean {
    return view.lastIndex === 0 && Object.keys(view.members.voters).length === 0;
}

function isMember(view: KeeperView): boolean {
    return Object.hasOwn(view.members.voters, view.id) || Object.hasOwn(view.members.learners, view.id);
}
