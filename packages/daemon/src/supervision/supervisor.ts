import { EventKind } from "@daisylock/core/events/event-kind.js";
import { InvariantViolation } from "@daisylock/core/invariants/invariant-violation.js";

import type { Clock } from "../clock/clock.js";
import { Mailbox } from "../concurrency/mailbox.js";
import { runGoroutine } from "../concurrency/run-goroutine.js";
import type { EventLog } from "../events/event-log.js";
import type { ChildSpec } from "./child-spec.js";
import { ChildStopped } from "./child-stopped.js";
import { Escalation } from "./escalation.js";
import type { RestartPolicy } from "./restart-policy.js";
import { Worker } from "./worker.js";

type ChildNotice =
    | { readonly kind: "ended"; readonly child: string; readonly error: unknown }
    | { readonly kind: "restart"; readonly child: string }
    | { readonly kind: "stop" };

/** Queue capacity for each child, which has at most one end notice and one restart notice queued at a time. */
const noticesPerChild = 4;

/** Starts its children in order, restarts those that end or fail, and stops them in reverse order. */
export class Supervisor extends Worker {
    private readonly notices: Mailbox<ChildNotice>;
    private readonly running = new Map<string, Worker>();
    /** Times of the failures within the period of the restart policy, monotonic milliseconds. */
    private failureTimesMs: number[] = [];
    private isStopping = false;

    /**
     * @param name - name within the parent supervisor
     * @param specs - the children, in start order
     * @param policy - limits and delays restarts
     * @param clock - source of time for the restart policy
     * @param events - event log that records failures and restarts
     */
    constructor(
        override readonly name: string,
        private readonly specs: readonly ChildSpec[],
        private readonly policy: RestartPolicy,
        private readonly clock: Clock,
        private readonly events: EventLog,
    ) {
        super();
        this.notices = new Mailbox(specs.length * noticesPerChild + 1);
    }

    override *run(): Generator<unknown, void, unknown> {
        for (const spec of this.specs) {
            this.startChild(spec);
        }
        while (!this.isStopping) {
            const notice = yield* this.notices.take();
            if (notice === undefined || notice.kind === "stop") {
                break;
            }
            const error = this.handleNotice(notice);
            if (error !== undefined) {
                yield* this.stopChildren();
                throw error;
            }
        }
        yield* this.stopChildren();
    }

    override stop(): void {
        this.notices.put({ kind: "stop" });
    }

    private startChild(spec: ChildSpec): void {
        const worker = spec.create();
        this.running.set(spec.name, worker);
        runGoroutine(
            () => worker.run(),
            error => this.notices.put({ kind: "ended", child: spec.name, error }),
        );
    }

    private handleNotice(notice: Exclude<ChildNotice, { kind: "stop" }>): Escalation | undefined {
        if (notice.kind === "restart") {
            this.startChildAgain(notice.child);
            return undefined;
        }
        this.running.delete(notice.child);
        const error = notice.error instanceof Error ? notice.error : new ChildStopped(notice.child);
        const kind = error instanceof InvariantViolation ? EventKind.InvariantBroken : EventKind.ChildFailed;
        this.events.record(kind, { detail: `${this.name}/${notice.child}: ${String(error)}` });
        if (!this.isRestartAllowed()) {
            return new Escalation(this.name, notice.child, error);
        }
        this.clock.schedule(this.policy.delayMs, () => this.notices.put({ kind: "restart", child: notice.child }));
        return undefined;
    }

    private startChildAgain(child: string): void {
        const spec = this.specs.find(candidate => candidate.name === child);
        if (spec === undefined || this.isStopping) {
            return;
        }
        this.events.record(EventKind.ChildRestarted, { detail: `${this.name}/${child}` });
        this.startChild(spec);
    }

    /** Records a failure and checks whether the restart policy allows another restart. */
    private isRestartAllowed(): boolean {
        const now = this.clock.readMonotonic();
        this.failureTimesMs = this.failureTimesMs.filter(failedAt => now - failedAt < this.policy.periodMs);
        this.failureTimesMs.push(now);
        return this.failureTimesMs.length <= this.policy.maxRestarts;
    }

    private *stopChildren(): Generator<unknown, void, unknown> {
        this.isStopping = true;
        for (const spec of [...this.specs].reverse()) {
            this.running.get(spec.name)?.stop();
            while (this.running.has(spec.name)) {
                const notice = yield* this.notices.take();
                if (notice?.kind === "ended") {
                    this.running.delete(notice.child);
                }
            }
        }
    }
}
