import { buildPromotion } from "@daisylock/core/raft/build-promotion.js";
import type { Members } from "@daisylock/core/raft/members.js";
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
/** Time without a known leader after which a keeper requests to join again, milliseconds: it may have been replaced. */
const rejoinDelayMs = 2_500;
/** Time without contact after which a voter is replaced if a responsive learner is available, milliseconds. */
const deadVoterTimeoutMs = 5_000;
const joinTimeoutMs = 700;

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
            yield* this.updateMembers(view);
        }
        else if (isBootstrapNode(this.options) && isUninitialized(view)) {
            yield* waitFor(this.keeper.startCluster(this.options.address));
        }
        else if (!isMember(view) || now - this.leaderSeenAt > rejoinDelayMs) {
            yield* waitFor(
                this.leaderClient.send("join", { id: view.id, address: this.options.address }, joinTimeoutMs),
            );
        }
        return intervalMs;
    }

    private *updateMembers(view: KeeperView): Generator<unknown, void, unknown> {
        const { voters, learners } = view.members;
        const ready = Object.keys(learners).find(id => isAlive(view, id));
        if (ready === undefined) {
            return;
        }
        if (Object.keys(voters).length < this.options.voterCount) {
            const result = yield* waitFor(this.keeper.sendMemberChange(buildPromotion(view.members, ready)));
            if (result.isOk) {
                const address = learners[ready];
                this.log.record(DecisionKind.MemberPromoted, { id: ready, address, term: view.term });
            }
            return;
        }
        const dead = Object.keys(voters).find(id => id !== view.id && !isAlive(view, id));
        if (dead !== undefined) {
            const remaining = Object.fromEntries(Object.entries(voters).filter(([id]) => id !== dead));
            const result = yield* waitFor(this.keeper.sendMemberChange({ voters: remaining, learners }));
            if (result.isOk) {
                this.log.record(DecisionKind.MemberRemoved, {
                    id: dead,
                    silentMs: deadVoterTimeoutMs,
                    term: view.term,
                });
            }
        }
    }
}

/** For a peer that has not responded yet, `silentMs` counts from the start of the leadership. */
function isAlive(view: KeeperView, id: string): boolean {
    return (view.silentMs[id] ?? 0) < deadVoterTimeoutMs;
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
