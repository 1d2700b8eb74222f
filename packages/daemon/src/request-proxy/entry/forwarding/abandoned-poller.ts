import type { Clock } from "../../../clock/clock.js";
import { waitFor } from "../../../concurrency/wait-for.js";
import { MetricName } from "../../../metrics/metric-name.js";
import type { Metrics } from "../../../metrics/metrics.js";
import type { PeerClients } from "../../../peer/peer-clients.js";
import { PeriodicWorker } from "../../../supervision/periodic-worker.js";
import type { EntryState } from "../entry-state.js";
import type { TargetRegistry } from "../targets/target-registry.js";
import type { AbandonedRequests } from "./abandoned-requests.js";

const intervalMs = 1_000;
const timeoutMs = 800;

/** Polls the other entries about abandoned requests on targets that do not announce themselves to this entry. */
export class AbandonedPoller extends PeriodicWorker {
    override readonly name = "abandoned-poller";

    /**
     * @param abandonedRequests - the abandoned requests
     * @param state - state of the entry
     * @param registry - targets that announce themselves to this entry
     * @param clients - connections to other entries
     * @param clock - monotonic time; schedules the rounds
     * @param metrics - gauges for abandoned and waiting requests
     */
    constructor(
        private readonly abandonedRequests: AbandonedRequests,
        private readonly state: EntryState,
        private readonly registry: TargetRegistry,
        private readonly clients: PeerClients,
        clock: Clock,
        private readonly metrics: Metrics,
    ) {
        super(clock);
    }

    protected override *tick(): Generator<unknown, number, unknown> {
        this.metrics.setGauge(MetricName.AbandonedRequests, this.abandonedRequests.count());
        this.metrics.setGauge(MetricName.WaitingRequests, this.state.admission.waiting);
        const remoteVms: string[] = [];
        for (const vm of this.abandonedRequests.listTargets()) {
            if (!this.state.tables.objects.vm.has(vm) && this.state.freshness.isFresh()) {
                this.abandonedRequests.dropTarget(vm);
            }
            else if (this.registry.find(vm) === undefined) {
                remoteVms.push(vm);
            }
        }
        if (remoteVms.length === 0) {
            return intervalMs;
        }
        const ownAddress = this.state.settings.listen.peers;
        const otherEntries = this.state.settings.cluster.entries.filter(address => address !== ownAddress);
        const requestedAt = this.clock.readMonotonic();
        const replies = yield* waitFor(Promise.all(
            otherEntries.map(address => this.clients.send(address, "readTargets", { vms: remoteVms }, timeoutMs)),
        ));
        for (const reply of replies) {
            for (const { vm, incarnation, ageMs, running } of reply.isOk ? reply.value.targets : []) {
                this.abandonedRequests.handleReport({
                    vm,
                    incarnation,
                    reportedAt: requestedAt - ageMs,
                    running: new Set(running),
                });
            }
        }
        return intervalMs;
    }
}
