import { describe, expect, it } from "@jest/globals";

import { Mailbox } from "./mailbox.js";
import { runGoroutine } from "./run-goroutine.js";
import { TurnCounter } from "./testing/turn-counter.js";
import { waitFor } from "./wait-for.js";

const waitTurn = () => new Promise(resolve => setImmediate(resolve));

describe("a goroutine", () => {
    // A commit takes several messages, each of which waited for another turn of a full leader.
    it("goes on in the turn of the event loop after that in which its message was put", async () => {
        const mailbox = new Mailbox<string>(1);
        const turns = new TurnCounter();
        const taken: number[] = [];
        runGoroutine(function*() {
            for (;;) {
                yield* mailbox.take();
                taken.push(turns.readTurns());
            }
        }, () => undefined);
        const put: number[] = [];
        for (let message = 0; message < 5; message++) {
            await waitTurn();
            await waitTurn();
            put.push(turns.readTurns());
            mailbox.put("a");
            await waitTurn();
            await waitTurn();
        }
        turns.stop();
        expect(taken.map((turn, position) => turn - (put[position] ?? 0))).toEqual([1, 1, 1, 1, 1]);
    });

    it("lets other work run between messages that are there already", async () => {
        const mailbox = new Mailbox<string>(20);
        Array.from({ length: 20 }, () => mailbox.put("a"));
        const turns = new TurnCounter();
        const taken = new Set<number>();
        let count = 0;
        runGoroutine(function*() {
            while (count < 20) {
                yield* mailbox.take();
                taken.add(turns.readTurns());
                count += 1;
            }
        }, () => undefined);
        while (count < 20) {
            await waitTurn();
        }
        turns.stop();
        expect(taken.size).toBe(20);
    });

    it("reports its end and its errors, also those of promises that it waits for", async () => {
        const ends: unknown[] = [];
        const failure = new Error("failed");
        runGoroutine(function*() {
            yield* waitFor(Promise.resolve());
        }, error => ends.push(error));
        runGoroutine(function*() {
            yield* waitFor(Promise.reject(failure));
        }, error => ends.push(error));
        await waitTurn();
        await waitTurn();
        await waitTurn();
        expect(ends).toEqual([undefined, failure]);
    });
});
