import type { RaftMessage } from "@daisylock/core/raft/raft-message.js";
import type { RaftTiming } from "@daisylock/core/raft/raft-timing.js";
import { RaftBatch } from "@daisylock/protocol/generated/raft.js";
import { decodeRaftMessages } from "@daisylock/protocol/peer/decode-raft-messages.js";
import { encodeRaftMessages } from "@daisylock/protocol/peer/encode-raft-messages.js";

import type { Clock } from "../../clock/clock.js";
import { runGoroutine } from "../../concurrency/run-goroutine.js";
import { EventLog } from "../../events/event-log.js";
import type { Metrics } from "../../metrics/metrics.js";
import { Keeper } from "../../request-proxy/keeper/keeper.js";
import { RehearsalStorage } from "./rehearsal-storage.js";

const networkDelayMs = 2;
const eventCapacity = 16;
const snapshotEntries = 100_000;

/** Callbacks of the keepers of a rehearsal. */
interface RehearsalKeeperCallbacks {
    /** Called after each batch that the leader has applied. */
    readonly handleApplied: () => void;
    /** Called when a keeper has failed. */
    readonly handleFailure: (error: unknown) => void;
}

/** Two keepers in this process, of which the first is elected; they replicate a log of their own. */
export class RehearsalKeepers {
    readonly leader: Keeper;
    private readonly keepers = new Map<string, Keeper>();

    /**
     * @param clock - clock of the rehearsal
     * @param timing - timing of the replicated log
     * @param metrics - metrics of the rehearsal
     * @param callbacks - callbacks
     */
    constructor(
        private readonly clock: Clock,
        private readonly timing: RaftTiming,
        private readonly metrics: Pick<Metrics, "recordTime" | "addCount" | "setGauge">,
        private readonly callbacks: RehearsalKeeperCallbacks,
    ) {
        // The keeper with the shortest election timeout stands first.
        this.leader = this.createKeeper("r0", 0, callbacks.handleApplied);
        this.createKeeper("r1", 1, () => undefined);
    }

    /** Starts the keepers. */
    start(): void {
        this.keepers.forEach(keeper => runGoroutine(() => keeper.run(), error => this.handleEnd(error)));
    }

    /** Stops the keepers. */
    stop(): void {
        this.keepers.forEach(keeper => keeper.stop());
    }

    private createKeeper(name: string, position: number, handleApplied: () => void): Keeper {
        const keeper = new Keeper({
            storage: new RehearsalStorage(name, { voters: { r0: "r0", r1: "r1" }, learners: {} }),
            clock: this.clock,
            random: () => position,
            timing: this.timing,
            events: new EventLog(name, "", this.clock, eventCapacity),
            metrics: this.metrics,
            snapshotEntries,
            send: (to, messages) => this.sendMessages(name, to, messages),
            handleApplied,
        });
        this.keepers.set(name, keeper);
        return keeper;
    }

    private sendMessages(from: string, to: string, messages: readonly RaftMessage[]): void {
        const bytes = RaftBatch.encode(encodeRaftMessages(messages, from)).finish();
        this.clock.schedule(networkDelayMs, () => {
            this.keepers.get(to)?.receive(decodeRaftMessages(RaftBatch.decode(bytes)), from);
        });
    }

    private handleEnd(error: unknown): void {
        if (error !== undefined) {
            this.callbacks.handleFailure(error);
        }
    }
}
