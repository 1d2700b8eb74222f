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

/** The entry of a process with its supervisor. Its state outlives the workers, which may be restarted. */
export class EntryComponents {
    readonly state: EntryState;
    readonly registry: TargetRegistry;
    private readonly callerDependencies: CallerDependencies;
    private leaderSyncWorker: LeaderSyncWorker | undefined;

    /**
     * @param processContext - what the process shares
     * @param callerAddress - where to serve callers
     * @param targetAddress - where to take announcements
     */
    constructor(
        private readonly processContext: ProcessContext,
        private readonly callerAddress: string,
        private readonly targetAddress: string,
    ) {
        const { settings, clock, events, metrics, leaderClient: control } = processContext;
        this.state = new EntryState(settings, randomBytes(6).toString("hex"), clock);
        this.registry = new TargetRegistry(
            clock,
            settings.limits.target_lease_ms,
            settings.limits.announcements_per_second,
            events,
        );
        const desk = new AdmissionController(this.state, clock, events, () => this.leaderSyncWorker?.startRound());
        const connections = new TargetConnections(settings.limits.target_connections);
        this.callerDependencies = {
            state: this.state,
            admissionController: desk,
            connections,
            abandonedRequests: new AbandonedRequests(desk, clock, events),
            halfOpenDetector: new HalfOpenConnectionDetector(connections, clock),
            dispatchRecorder: new DispatchRecorder(control, clock),
            retryBudget: { tokens: retryBudgetLimits.maxTokens },
            clock,
            events,
            metrics,
        };
        this.registry.addListener(registration => {
            applyAnnouncement(this.state, registration);
            this.callerDependencies.abandonedRequests.handleReport(registration);
            this.callerDependencies.halfOpenDetector.checkAnnouncement(registration);
        });
    }

    /**
     * Builds the supervisor.
     * @returns the supervisor
     */
    buildSupervisor(): Supervisor {
        const { clock, events } = this.processContext;
        return new Supervisor("entry-supervisor", this.listChildren(), restartPolicy, clock, events);
    }

    /** Callers come last, so that they are stopped first while everything that their requests need still runs. */
    private listChildren(): ChildSpec[] {
        const { clock, clients, metrics } = this.processContext;
        const { state, registry, callerDependencies: callers } = this;
        return [
            { name: "table-follower", create: () => this.createLeaderSyncWorker() },
            { name: "queue-clock", create: () => new ExpiryWorker(callers.admissionController, registry, clock) },
            {
                name: "abandoned-poller",
                create: () => new AbandonedPoller(callers.abandonedRequests, state, registry, clients, clock, metrics),
            },
            { name: "target-listener", create: () => new TargetListener(this.targetAddress, state, registry) },
            { name: "caller-listener", create: () => new CallerListener(this.callerAddress, callers) },
        ];
    }

    private createLeaderSyncWorker(): LeaderSyncWorker {
        const { leaderClient: control, clock, events, metrics } = this.processContext;
        this.leaderSyncWorker = new LeaderSyncWorker({
            state: this.state,
            registry: this.registry,
            admissionController: this.callerDependencies.admissionController,
            leaderClient: control,
            clock,
            events,
            metrics,
        });
        return this.leaderSyncWorker;
    }
}
