import { describe, expect, it } from "@jest/globals";

import { encodeFrame } from "./encode-frame.js";
import { FrameDecoder } from "./frame-decoder.js";
import { FrameKind } from "./frame-kind.js";
import type { Frame } from "./frame.js";

const frames: Frame[] = [
    { kind: FrameKind.Request, id: 7, status: 0, path: "/call/job", body: Buffer.from("{}") },
    { kind: FrameKind.Response, id: 2 ** 32 - 1, status: 204, path: "", body: Buffer.alloc(0) },
    { kind: FrameKind.Request, id: 8, status: 0, path: "/raft", body: Buffer.alloc(5_000, "é") },
];
const bytes = Buffer.concat(frames.flatMap(frame => [...encodeFrame(frame)]));

describe("FrameDecoder", () => {
    it.each([1, 2, 3, 5, 11, 13, 4_096, bytes.length])("decodes frames that arrive in chunks of %d bytes", size => {
        const decoder = new FrameDecoder(10_000);
        const decoded: Frame[] = [];
        for (let start = 0; start < bytes.length; start += size) {
            decoded.push(...decoder.decodeChunk(bytes.subarray(start, start + size)) ?? []);
        }
        expect(decoded.map(frame => ({ ...frame, body: frame.body.toString() }))).toEqual(
            frames.map(frame => ({ ...frame, body: frame.body.toString() })),
        );
    });

    it("refuses a frame that is larger than allowed before it has arrived", () => {
        expect(new FrameDecoder(1_000).decodeChunk(bytes.subarray(-5_024))).toBeUndefined();
    });

    it("refuses bytes that are no frame", () => {
        expect(new FrameDecoder(1_000).decodeChunk(Buffer.from([0, 0, 0, 1, 9, 9]))).toBeUndefined();
        const pathBeyondEnd = Buffer.concat(encodeFrame({ ...frames[1] as Frame, body: Buffer.alloc(0) }));
        pathBeyondEnd.writeUInt8(200, 11);
        expect(new FrameDecoder(1_000).decodeChunk(pathBeyondEnd)).toBeUndefined();
    });
});
