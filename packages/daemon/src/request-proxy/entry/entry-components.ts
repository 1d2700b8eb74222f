import { retryBudgetLimits } from "@daisylock/core/retries/retry-budget-limits.js";
import { randomBytes } from "node:crypto";

import type { ChildSpec } from "../../supervision/child-spec.js";
import { Supervisor } from "../../supervision/supervisor.js";
import type { ProcessContext } from "../process-context.js";
import { AdmissionController } from "./admission/admission-controller.js";
import { ExpiryWorker } from "./admission/expiry-worker.js";
import type { CallerDependencies } from "./callers/caller-dependencies.js";
import { CallerListener } from "./callers/caller-listener.js";
import { DispatchRecorder } from "./callers/dispatch-recorder.js";
import { EntryState } from "./entry-state.js";
import { AbandonedPoller } from "./forwarding/abandoned-poller.js";
import { AbandonedRequests } from "./forwarding/abandoned-requests.js";
import { HalfOpenConnectionDetector } from "./forwarding/half-open-connection-detector.js";
import { TargetConnections } from "./forwarding/target-connections.js";
import { LeaderSyncWorker } from "./leader-sync/leader-sync-worker.js";
import { applyAnnouncement } from "./targets/apply-announcement.js";
import { TargetListener } from "./targets/target-listener.js";
import { TargetRegistry } from "./targets/target-registry.js";

const restartPolicy = { maxRestarts: 5, periodMs: 60_000, delayMs: 200 };

/**
 * Components of the entry, the ingress process that accepts requests of callers. The state is kept here rather than in
 * the workers, so that it survives when the supervisor restarts a worker.
 */
export class EntryComponents {
    readonly state: EntryState;
    readonly registry: TargetRegistry;
    private readonly callerDependencies: CallerDependencies;
    private leaderSyncWorker: LeaderSyncWorker | undefined;

    /**
     * @param processContext - services that all components of the process share
     * @param callerAddress - address to listen on for requests of callers
     * @param targetAddress - address to listen on for announcements of targets
     */
    constructor(
        private readonly processContext: ProcessContext,
        private readonly callerAddress: string,
        private readonly targetAddress: string,
    ) {
        const { settings, clock, events, metrics, leaderClient, noteFault } = processContext;
        this.state = new EntryState(settings, randomBytes(6).toString("hex"), clock);
        this.registry = new TargetRegistry(
            clock,
            settings.limits.target_lease_ms,
            settings.limits.announcements_per_second,
            events,
        );
        const admissionController = new AdmissionController(
            this.state,
            clock,
            events,
            () => this.leaderSyncWorker?.startRound(),
        );
        const connections = new TargetConnections(settings.limits.target_connections);
        this.callerDependencies = {
            state: this.state,
            admissionController,
            connections,
            abandonedRequests: new AbandonedRequests(admissionController, clock, events),
            halfOpenDetector: new HalfOpenConnectionDetector(connections, clock),
            dispatchRecorder: new DispatchRecorder(leaderClient, clock, noteFault),
            retryBudget: { tokens: retryBudgetLimits.maxTokens },
            clock,
            events,
            metrics,
            noteFault,
        };
        this.registry.addListener(target => {
            applyAnnouncement(this.state, target);
            this.callerDependencies.abandonedRequests.handleReport(target);
            this.callerDependencies.halfOpenDetector.checkAnnouncement(target);
        });
    }

    /**
     * Builds the supervisor of the entry's workers.
     * @returns the supervisor, not yet started
     */
    buildSupervisor(): Supervisor {
        const { clock, events } = this.processContext;
        return new Supervisor("entry-supervisor", this.listChildren(), restartPolicy, clock, events);
    }

    /**
     * Lists the workers in start order. The supervisor stops them in reverse order: the caller listener comes last, so
     * that it stops first while the workers that its in-flight requests depend on still run.
     */
    private listChildren(): ChildSpec[] {
        const { clock, clients, metrics, noteFault } = this.processContext;
        const { state, registry, callerDependencies } = this;
        return [
            { name: "table-follower", create: () => this.createLeaderSyncWorker() },
            {
                name: "queue-clock",
                create: () => new ExpiryWorker(callerDependencies.admissionController, registry, clock),
            },
            {
                name: "abandoned-poller",
                create: () =>
                    new AbandonedPoller(callerDependencies.abandonedRequests, state, registry, clients, clock, metrics),
            },
            {
                name: "target-listener",
                create: () => new TargetListener(this.targetAddress, state, registry, noteFault),
            },
            { name: "caller-listener", create: () => new CallerListener(this.callerAddress, callerDependencies) },
        ];
    }

    private createLeaderSyncWorker(): LeaderSyncWorker {
        const { leaderClient, clock, events, metrics } = this.processContext;
        this.leaderSyncWorker = new LeaderSyncWorker({
            state: this.state,
            registry: this.registry,
            admissionController: this.callerDependencies.admissionController,
            leaderClient,
            clock,
            events,
            metrics,
        });
        return this.leaderSyncWorker;
    }
}
