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
/** Time without a leader after which a keeper asks to be let in again: it may have been replaced. */
const rejoinDelayMs = 2_500;
/** Silence after which a voter is replaced when a caught-up learner stands by, milliseconds. */
const deadVoterTimeoutMs = 5_000;
const joinTimeoutMs = 700;

/** What the manager needs to know of its process. */
interface MembershipOptions {
    /** Peer address of this process. */
    readonly address: string;
    /** Peer addresses of the seeds. */
    readonly seeds: readonly string[];
    /** Whether the seeds found a new cluster. */
    readonly isBootstrapping: boolean;
    /** Voters that the cluster is to have. */
    readonly voterCount: number;
}

/** Founds the cluster, joins it, and on the leader replaces voters that are gone. */
export class MemberManager extends PeriodicWorker {
    override readonly name = "member-manager";
    private leaderSeenAt: number;

    /**
     * @param keeper - the keeper of this process
     * @param leaderClient - the way to the leader
     * @param options - what this process was told
     * @param log - decisions
     * @param clock - time
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
     * Tells whoever looks for the leader whether it is this keeper.
     * @returns that it leads, or where the leader may be
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
     * Lets a keeper receive the log. An older disk at its address is gone, and with it what that disk had promised.
     * @param request - id of the keeper's disk and its peer address
     * @returns whether it is a member now
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
            const rest = Object.fromEntries(Object.entries(voters).filter(([id]) => id !== dead));
            const result = yield* waitFor(this.keeper.sendMemberChange({ voters: rest, learners }));
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

/** A peer that was never heard counts from the beginning of the leadership. */
function isAlive(view: KeeperView, id: string): boolean {
    return (view.silentMs[id] ?? 0) < deadVoterTimeoutMs;
}

function dropAddress(members: Readonly<Record<string, string>>, address: string): Record<string, string> {
    return Object.fromEntries(Object.entries(members).filter(([, other]) => other !== address));
}

function isBootstrapNode({ isBootstrapping: isFounding, address, seeds }: MembershipOptions): boolean {
    return isFounding && [...seeds].sort()[0] === address;
}

function isUninitialized(view: KeeperView): boolean {
    return view.lastIndex === 0 && Object.keys(view.members.voters).length === 0;
}

function isMember(view: KeeperView): boolean {
    return Object.hasOwn(view.members.voters, view.id) || Object.hasOwn(view.members.learners, view.id);
}
