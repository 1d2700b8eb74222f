import { buildPromotion } from "@daisylock/core/log/build-promotion.js";
import type { Members } from "@daisylock/core/log/members.js";
import type { LeaderReply } from "@daisylock/protocol/fleet/leader-reply.js";

import type { Clock } from "../../clock/clock.js";
import { waitFor } from "../../concurrency/wait-for.js";
import type { KeeperView } from "../../root/keeper/keeper-view.js";
import type { Keeper } from "../../root/keeper/keeper.js";
import { PeriodicWorker } from "../../supervision/periodic-worker.js";
import { DecisionKind } from "../log/decision-kind.js";
import type { DecisionLog } from "../log/decision-log.js";
import type { LeaderCaller } from "../peers/leader-caller.js";

const intervalMs = 200;
/** Time without a leader after which a keeper asks to be let in again: it may have been replaced. */
const lonelyMs = 2_500;
/** Silence after which a voter is replaced when a caught-up learner stands by, milliseconds. */
const deadVoterMs = 5_000;
const joinTimeoutMs = 700;

/** What the manager needs to know of its process. */
interface MemberPlan {
    /** Peer address of this process. */
    readonly address: string;
    /** Peer addresses of the seeds. */
    readonly seeds: readonly string[];
    /** Whether the seeds found a new cluster. */
    readonly isFounding: boolean;
    /** Voters that the cluster is to have. */
    readonly voters: number;
}

/** Founds the cluster, joins it, and on the leader replaces voters that are gone. */
export class MemberManager extends PeriodicWorker {
    override readonly name = "member-manager";
    private leaderSeenAt: number;

    /**
     * @param keeper - the keeper of this process
     * @param caller - the way to the leader
     * @param plan - what this process was told
     * @param log - decisions
     * @param clock - time
     */
    constructor(
        private readonly keeper: Keeper,
        private readonly caller: LeaderCaller,
        private readonly plan: MemberPlan,
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
    handleSearch(): Promise<LeaderReply<Record<string, never>>> {
        if (this.keeper.isDeciding()) {
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
        if (view === undefined || !this.keeper.isDeciding()) {
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
        this.log.note(DecisionKind.MemberJoining, { id, address, term: view.term });
        const result = await this.keeper.sendMembers(next);
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
        if (this.keeper.isDeciding()) {
            yield* this.updateMembers(view);
        }
        else if (isFounder(this.plan) && isBlank(view)) {
            yield* waitFor(this.keeper.startCluster(this.plan.address));
        }
        else if (!isMember(view) || now - this.leaderSeenAt > lonelyMs) {
            yield* waitFor(this.caller.send("join", { id: view.id, address: this.plan.address }, joinTimeoutMs));
        }
        return intervalMs;
    }

    private *updateMembers(view: KeeperView): Generator<unknown, void, unknown> {
        const { voters, learners } = view.members;
        const ready = Object.keys(learners).find(id => isAlive(view, id));
        if (ready === undefined) {
            return;
        }
        if (Object.keys(voters).length < this.plan.voters) {
            const result = yield* waitFor(this.keeper.sendMembers(buildPromotion(view.members, ready)));
            if (result.isOk) {
                const address = learners[ready];
                this.log.note(DecisionKind.MemberPromoted, { id: ready, address, term: view.term });
            }
            return;
        }
        const dead = Object.keys(voters).find(id => id !== view.id && !isAlive(view, id));
        if (dead !== undefined) {
            const rest = Object.fromEntries(Object.entries(voters).filter(([id]) => id !== dead));
            const result = yield* waitFor(this.keeper.sendMembers({ voters: rest, learners }));
            if (result.isOk) {
                this.log.note(DecisionKind.MemberRemoved, { id: dead, silentMs: deadVoterMs, term: view.term });
            }
        }
    }
}

/** A peer that was never heard counts from the beginning of the leadership. */
function isAlive(view: KeeperView, id: string): boolean {
    return (view.silentMs[id] ?? 0) < deadVoterMs;
}

function dropAddress(members: Readonly<Record<string, string>>, address: string): Record<string, string> {
    return Object.fromEntries(Object.entries(members).filter(([, other]) => other !== address));
}

function isFounder({ isFounding, address, seeds }: MemberPlan): boolean {
    return isFounding && [...seeds].sort()[0] === address;
}

function isBlank(view: KeeperView): boolean {
    return view.lastIndex === 0 && Object.keys(view.members.voters).length === 0;
}

function isMember(view: KeeperView): boolean {
    return Object.hasOwn(view.members.voters, view.id) || Object.hasOwn(view.members.learners, view.id);
}
