import type { Clock } from "../../../clock/clock.js";
import { Mailbox } from "../../../concurrency/mailbox.js";
import { waitFor } from "../../../concurrency/wait-for.js";
import { MetricName } from "../../../metrics/metric-name.js";
import type { Metrics } from "../../../metrics/metrics.js";
import type { PeerClients } from "../../../peer/peer-clients.js";
import { Worker } from "../../../supervision/worker.js";
import type { EntryState } from "../entry-state.js";
import type { TargetRegistry } from "../targets/target-registry.js";
import type { AbandonedBook } from "./abandoned-book.js";

const intervalMs = 1_000;
const timeoutMs = 800;

/** Asks the entries of other zones about given-up requests on targets that do not announce themselves here. */
export class AbandonedPoller extends Worker {
    override readonly name = "abandoned-poller";
    private readonly mailbox = new Mailbox<"poll">(1);
    private cancelTimer: () => void = () => undefined;

    /**
     * @param book - the given-up requests
     * @param state - the entry
     * @param registry - targets that announce themselves here
     * @param clients - connections to other entries
     * @param clock - time
     * @param metrics - where their number is reported
     */
    constructor(
        private readonly book: AbandonedBook,
        private readonly state: EntryState,
        private readonly registry: TargetRegistry,
        private readonly clients: PeerClients,
        private readonly clock: Clock,
        private readonly metrics: Metrics,
    ) {
        super();
    }

    override *run(): Generator<unknown, void, unknown> {
        this.scheduleNext();
        try {
            while ((yield* this.mailbox.take()) !== undefined) {
                yield* this.poll();
                this.scheduleNext();
            }
        }
        finally {
            this.cancelTimer();
        }
    }

    override stop(): void {
        this.mailbox.close();
    }

    private scheduleNext(): void {
        this.cancelTimer = this.clock.schedule(intervalMs, () => this.mailbox.put("poll"));
    }

    private *poll(): Generator<unknown, void, unknown> {
        this.metrics.setLevel(MetricName.AbandonedRequests, this.book.count());
        const remote: string[] = [];
        for (const vm of this.book.listTargets()) {
            if (!this.state.tables.objects.vm.has(vm) && this.state.freshness.isFresh()) {
                this.book.dropTarget(vm);
            }
            else if (this.registry.find(vm) === undefined) {
                remote.push(vm);
            }
        }
        if (remote.length === 0) {
            return;
        }
        const own = this.state.settings.listen.peers;
        const others = this.state.settings.cluster.entries.filter(address => address !== own);
        const askedAt = this.clock.readMonotonic();
        const replies = yield* waitFor(Promise.all(
            others.map(address => this.clients.send(address, "readTargets", { vms: remote }, timeoutMs)),
        ));
        for (const reply of replies) {
            for (const { vm, incarnation, ageMs, running } of reply.isOk ? reply.value.targets : []) {
                this.book.noteTarget({ vm, incarnation, heardAt: askedAt - ageMs, running: new Set(running) });
            }
        }
    }
}
