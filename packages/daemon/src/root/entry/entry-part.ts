import { retryLimits } from "@daisylock/core/retries/retry-limits.js";
import { randomBytes } from "node:crypto";

import type { ChildSpec } from "../../supervision/child-spec.js";
import { Supervisor } from "../../supervision/supervisor.js";
import type { ProcessParts } from "../process-parts.js";
import { AdmissionDesk } from "./admission/admission-desk.js";
import { QueueClock } from "./admission/queue-clock.js";
import { CallerListener } from "./callers/caller-listener.js";
import type { CallerSurroundings } from "./callers/caller-surroundings.js";
import { DispatchRecorder } from "./callers/dispatch-recorder.js";
import { EntryState } from "./entry-state.js";
import { TableFollower } from "./follower/table-follower.js";
import { AbandonedBook } from "./forwarding/abandoned-book.js";
import { AbandonedPoller } from "./forwarding/abandoned-poller.js";
import { AttemptWatch } from "./forwarding/attempt-watch.js";
import { TargetConnections } from "./forwarding/target-connections.js";
import { applyAnnouncement } from "./targets/apply-announcement.js";
import { TargetListener } from "./targets/target-listener.js";
import { TargetRegistry } from "./targets/target-registry.js";

const restartPolicy = { maxRestarts: 5, periodMs: 60_000, delayMs: 200 };

/** The entry of a process with its supervisor. Its state outlives the workers, which may be restarted. */
export class EntryPart {
    readonly state: EntryState;
    readonly registry: TargetRegistry;
    private readonly callers: CallerSurroundings;
    private follower: TableFollower | undefined;

    /**
     * @param parts - what the process shares
     * @param callerAddress - where to serve callers
     * @param targetAddress - where to take announcements
     */
    constructor(
        private readonly parts: ProcessParts,
        private readonly callerAddress: string,
        private readonly targetAddress: string,
    ) {
        const { settings, clock, events, metrics, control } = parts;
        this.state = new EntryState(settings, randomBytes(6).toString("hex"), clock);
        this.registry = new TargetRegistry(
            clock,
            settings.limits.target_lease_ms,
            settings.limits.announcements_per_second,
            events,
        );
        const desk = new AdmissionDesk(this.state, clock, events, () => this.follower?.startRound());
        const connections = new TargetConnections(settings.limits.target_connections);
        this.callers = {
            state: this.state,
            desk,
            connections,
            abandoned: new AbandonedBook(desk, clock, events),
            watch: new AttemptWatch(connections, clock),
            recorder: new DispatchRecorder(control, clock),
            retries: { tokens: retryLimits.maxTokens },
            clock,
            events,
            metrics,
        };
        this.registry.addListener(registration => {
            applyAnnouncement(this.state, registration);
            this.callers.abandoned.noteTarget(registration);
            this.callers.watch.noteTarget(registration);
        });
    }

    /**
     * Builds the supervisor.
     * @returns the supervisor
     */
    buildSupervisor(): Supervisor {
        const { clock, events } = this.parts;
        return new Supervisor("entry-supervisor", this.listChildren(), restartPolicy, clock, events);
    }

    /** Callers come last, so that they are stopped first while everything that their requests need still runs. */
    private listChildren(): ChildSpec[] {
        const { clock, clients, metrics } = this.parts;
        const { state, registry, callers } = this;
        return [
            { name: "table-follower", create: () => this.createFollower() },
            { name: "queue-clock", create: () => new QueueClock(callers.desk, registry, clock) },
            {
                name: "abandoned-poller",
                create: () => new AbandonedPoller(callers.abandoned, state, registry, clients, clock, metrics),
            },
            { name: "target-listener", create: () => new TargetListener(this.targetAddress, state, registry) },
            { name: "caller-listener", create: () => new CallerListener(this.callerAddress, callers) },
        ];
    }

    private createFollower(): TableFollower {
        const { control, clock, events, metrics } = this.parts;
        this.follower = new TableFollower({
            state: this.state,
            registry: this.registry,
            desk: this.callers.desk,
            control,
            clock,
            events,
            metrics,
        });
        return this.follower;
    }
}
