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

    constructor(private readonly log: string[], private readonly label: string, private readonly fails: () => boolean) {
        super();
    }

    override *run(): Generator<unknown, void, unknown> {
        this.log.push(`start ${this.label}`);
        if (this.fails()) {
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
    failures: number,
): { supervisor: Supervisor; events: EventLog; end: Promise<unknown> } {
    const events = new EventLog("test", "a", clock, 100);
    let left = failures;
    const supervisor = new Supervisor(
        "test",
        [
            { name: "first", create: () => new StubWorker(log, "first", () => false) },
            { name: "second", create: () => new StubWorker(log, "second", () => left-- > 0) },
        ],
        { maxRestarts: 2, periodMs: 60_000, delayMs: 1 },
        clock,
        events,
    );
    const end = new Promise(resolve => runGoroutine(() => supervisor.run(), resolve));
    return { supervisor, events, end };
}

describe("a supervisor", () => {
    it("starts children in order and stops them in reverse", async () => {
        const log: string[] = [];
        const { supervisor, end } = runSupervisor(log, 0);
        supervisor.stop();
        expect(await end).toBeUndefined();
        expect(log).toEqual(["start first", "start second", "stop second", "stop first"]);
    });

    it("restarts a child that fails and records it", async () => {
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

    it("stops the others and passes the error up when a child fails too often", async () => {
        const log: string[] = [];
        const { end } = runSupervisor(log, 3);
        expect(await end).toBeInstanceOf(Escalation);
        expect(log.at(-1)).toBe("stop first");
    });
});
