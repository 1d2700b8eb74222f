import type { LeaderCalls } from "@daisylock/protocol/fleet/leader-calls.js";
import type { LeaderReply } from "@daisylock/protocol/fleet/leader-reply.js";
import Result from "true-myth/result";

import { SystemClock } from "../../clock/system-clock.js";
import { runGoroutine } from "../../concurrency/run-goroutine.js";
import { EventLog } from "../../events/event-log.js";
import { CallFailureKind } from "../../http-client/call-failure-kind.js";
import type { CallFailure } from "../../http-client/call-failure.js";
import { Keeper } from "../../request-proxy/keeper/keeper.js";
import { MemberManager } from "../keeper/member-manager.js";
import { DecisionLog } from "../logging/decision-log.js";
import type { LeaderClient } from "../peers/leader-client.js";
import { MemoryKeeperStorage } from "./memory-keeper-storage.js";

const timing = { heartbeatIntervalMs: 75, minElectionTimeoutMs: 320, maxElectionTimeoutMs: 560, leaseMs: 260 };
const networkDelayMs = 1;
const pollMs = 10;
const maxWaitMs = 8_000;
const callRetryMs = 20;
const seed = "a";

type KeeperCalls = Pick<LeaderCalls, "join" | "depart">;

interface GroupMember {
    readonly keeper: Keeper;
    readonly manager: MemberManager;
}

/** Keepers in one process with their member managers; the name of a keeper is its id and its peer address. */
export class KeeperGroup {
    private readonly members = new Map<string, GroupMember>();
    private readonly clock = new SystemClock();

    /**
     * Starts a keeper on an empty disk.
     * @param name - its name
     * @param isBootstrapping - whether the group is being bootstrapped
     */
    startKeeper(name: string, isBootstrapping: boolean): void {
        const keeper = new Keeper({
            storage: new MemoryKeeperStorage(name),
            clock: this.clock,
            random: Math.random,
            timing,
            events: new EventLog(name, "zone", this.clock, 16),
            metrics: { recordTime: () => undefined, addCount: () => undefined, setGauge: () => undefined },
            snapshotEntries: 10_000,
            send: (to, messages) => {
                const copies = structuredClone(messages);
                setTimeout(() => {
                    if (this.members.has(name)) {
                        this.members.get(to)?.keeper.receive(copies, name);
                    }
                }, networkDelayMs);
            },
        });
        const client = { send: this.sendCall.bind(this) } as unknown as LeaderClient;
        const options = { address: name, seeds: [seed], isBootstrapping, voterCount: 3 };
        const manager = new MemberManager(keeper, client, options, new DecisionLog(name, "silent"), this.clock);
        this.members.set(name, { keeper, manager });
        runGoroutine(() => keeper.run(), () => undefined);
        runGoroutine(() => manager.run(), () => undefined);
    }

    /**
     * Ends a keeper, which loses its disk.
     * @param name - its name
     */
    dropKeeper(name: string): void {
        const member = this.members.get(name);
        this.members.delete(name);
        member?.manager.stop();
        member?.keeper.stop();
    }

    /**
     * Stops a keeper as a process does on SIGTERM.
     * @param name - its name
     */
    async stopGracefully(name: string): Promise<void> {
        const member = this.members.get(name);
        await member?.keeper.startLeadershipTransfer();
        await member?.manager.releaseVote();
        this.dropKeeper(name);
    }

    /** Ends all keepers. */
    stopAll(): void {
        [...this.members.keys()].forEach(name => this.dropKeeper(name));
    }

    /**
     * Finds the active leader.
     * @returns the leader, or `undefined` when there is none
     */
    findLeader(): GroupMember | undefined {
        return [...this.members.values()].find(({ keeper }) => keeper.isActiveLeader());
    }

    /**
     * Finds the name of the active leader.
     * @returns its name; empty when there is none
     */
    findLeaderName(): string {
        return [...this.members].find(([, { keeper }]) => keeper.isActiveLeader())?.[0] ?? "";
    }

    /**
     * Lists the voters.
     * @returns their names, as the leader knows them; empty without a leader
     */
    listVoters(): readonly string[] {
        return Object.keys(this.findLeader()?.keeper.readView()?.members.voters ?? {});
    }

    /**
     * Counts the voters.
     * @returns their number, as the leader knows it; 0 without a leader
     */
    countVoters(): number {
        return this.listVoters().length;
    }

    /**
     * Tells whether every keeper of the group has stored the same voters.
     * @param voters - their names, sorted
     * @returns false while a change of members has not reached all of them
     */
    isVoterListStored(voters: readonly string[]): boolean {
        return [...this.members.values()].every(({ keeper }) =>
            Object.keys(keeper.readView()?.members.voters ?? {}).sort().join() === voters.join()
        );
    }

    /**
     * Waits until a condition holds, but not longer than for a check of it to fail.
     * @param check - the condition
     * @param intervalMs - time between two checks, milliseconds
     */
    async waitUntil(check: () => boolean, intervalMs = pollMs): Promise<void> {
        const endsAt = performance.now() + maxWaitMs;
        while (!check() && performance.now() < endsAt) {
            await this.waitFor(intervalMs);
        }
    }

    /**
     * Waits.
     * @param ms - milliseconds
     */
    async waitFor(ms: number): Promise<void> {
        await new Promise(resolve => setTimeout(resolve, ms));
    }

    private async sendCall<Name extends keyof KeeperCalls>(
        name: Name,
        request: KeeperCalls[Name]["request"],
        timeoutMs: number,
    ): Promise<Result<KeeperCalls[Name]["reply"], CallFailure>> {
        const endsAt = performance.now() + timeoutMs;
        while (performance.now() < endsAt) {
            await this.waitFor(networkDelayMs);
            const manager = this.findLeader()?.manager;
            const handlers = {
                join: (call: KeeperCalls["join"]["request"]) => manager?.handleJoin(call),
                depart: (call: KeeperCalls["depart"]["request"]) => manager?.handleDepart(call),
            };
            const handle = handlers[name] as (
                call: unknown,
            ) => Promise<LeaderReply<KeeperCalls[Name]["reply"]>> | undefined;
            const reply = await handle(request);
            if (reply?.isLeader === true) {
                return Result.ok(reply.value);
            }
            await this.waitFor(callRetryMs);
        }
        return Result.err({ kind: CallFailureKind.NotSent, detail: "no leader in time", isTimeout: false });
    }
}
