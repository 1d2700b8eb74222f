import { describe, expect, it } from "@jest/globals";
import { stat } from "node:fs";
import { Duplex } from "node:stream";

import { ChannelConnection } from "./channel-connection.js";
import { FrameKind } from "./frame-kind.js";

/** Writes a second to one busy connection, of which a leader has ten or so. */
const maxWritesPerSecond = 150;

const frame = { kind: FrameKind.Notice, id: 1, status: 0, path: "/p", body: Buffer.from("x") };
const waitMs = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

describe("ChannelConnection", () => {
    function createConnection() {
        let writes = 0;
        const stream = new Duplex({
            read: () => undefined,
            write: (_chunk, _encoding, done) => {
                writes += 1;
                done();
            },
        });
        const ignore = () => undefined;
        const socket = Object.assign(stream, { setNoDelay: ignore, setTimeout: ignore, setKeepAlive: ignore });
        const handlers = { handleFrame: () => undefined, handleClose: () => undefined, handleFault: () => undefined };
        const connection = new ChannelConnection(socket as never, handlers, () => performance.now());
        return { connection, countWrites: () => writes };
    }

    // A leader spent a fifth of its processor time on writes of a few frames each, and as much on reading such writes.
    it("writes the frames of a steady load together", async () => {
        const { connection, countWrites } = createConnection();
        const startedAt = performance.now();
        while (performance.now() - startedAt < 500) {
            connection.sendFrame(frame);
            await waitMs(1);
        }
        const seconds = (performance.now() - startedAt) / 1_000;
        connection.close();
        expect(countWrites() / seconds).toBeLessThan(maxWritesPerSecond);
    });

    it("writes a frame after a pause at once", async () => {
        const { connection, countWrites } = createConnection();
        connection.sendFrame(frame);
        await waitMs(30);
        const writesBefore = countWrites();
        connection.sendFrame(frame);
        await new Promise(resolve => setImmediate(resolve));
        await new Promise(resolve => setImmediate(resolve));
        connection.close();
        expect([writesBefore, countWrites()]).toEqual([1, 2]);
    });

    // Heartbeats of a busy leader left a turn of its event loop late, and its lease lapsed.
    it("writes a frame that an immediate sends before the next events from the network are handled", async () => {
        const { connection, countWrites } = createConnection();
        const writes = await new Promise<number>(resolve =>
            setImmediate(() => {
                stat(".", () => resolve(countWrites()));
                connection.sendFrame(frame);
                const blockedUntil = performance.now() + 20;
                while (performance.now() < blockedUntil) {
                    // The event is there when this turn ends.
                }
            })
        );
        connection.close();
        expect(writes).toBe(1);
    });
});
