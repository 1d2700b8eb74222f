import { EventKind } from "@daisylock/core/events/event-kind.js";
import { describe, expect, it } from "@jest/globals";

import { SystemClock } from "../clock/system-clock.js";
import { Mailbox } from "../concurrency/mailbox.js";
import { runGoroutine } from "../concurrency/run-goroutine.js";
import { EventLog } from "../events/event-log.js";
import { ChildStopped } from "./child-stopped.js";
import { Escalation } from "./escalation.js";
import { Supervisor } from "./supervisor.js";
import { Worker } from "./worker.js";

const clock = new SystemClock();

class StubWorker extends Worker {
    override readonly name = "stub";
    private readonly mailbox = new Mailbox<never>(1);

    constructor(
        private readonly log: string[],
        private readonly label: string,
        private readonly shouldFail: () => boolean,
    ) {
        super();
    }

    override *run(): Generator<unknown, void, unknown> {
        this.log.push(`start ${this.label}`);
        if (this.shouldFail()) {
            throw new ChildStopped(this.label);
        }
        yield* this.mailbox.take();
        this.log.push(`stop ${this.label}`);
    }

    override stop(): void {
        this.mailbox.close();
    }
}

function runSupervisor(
    log: string[],
    failureCount: number,
): { supervisor: Supervisor; events: EventLog; end: Promise<unknown> } {
    const events = new EventLog("test", "a", clock, 100);
    let remainingFailures = failureCount;
    const supervisor = new Supervisor(
        "test",
        [
            { name: "first", create: () => new StubWorker(log, "first", () => false) },
            { name: "second", create: () => new StubWorker(log, "second", () => remainingFailures-- > 0) },
        ],
        { maxRestarts: 2, periodMs: 60_000, delayMs: 1 },
        clock,
        events,
    );
    const end = new Promise(resolve => runGoroutine(() => supervisor.run(), resolve));
    return { supervisor, events, end };
}

describe("a supervisor", () => {
    it("starts children in order and stops them in reverse order", async () => {
        const log: string[] = [];
        const { supervisor, end } = runSupervisor(log, 0);
        supervisor.stop();
        expect(await end).toBeUndefined();
        expect(log).toEqual(["start first", "start second", "stop second", "stop first"]);
    });

    it("restarts a failed child and records an event", async () => {
        const log: string[] = [];
        const { supervisor, events, end } = runSupervisor(log, 2);
        while (log.filter(line => line === "start second").length < 3) {
            await new Promise(resolve => setTimeout(resolve, 2));
        }
        supervisor.stop();
        expect(await end).toBeUndefined();
        const kinds = events.listSince(0, 100).map(event => event.kind);
        expect(kinds.filter(kind => kind === EventKind.ChildRestarted)).toHaveLength(2);
    });

    it("stops the other children and escalates when a child exceeds the restart limit", async () => {
        const log: string[] = [];
        const { end } = runSupervisor(log, 3);
        expect(await end).toBeInstanceOf(Escalation);
        expect(log.at(-1)).toBe("stop first");
    });
});
