import type { FrameKind } from "./frame-kind.js";
import { frameLayout } from "./frame-layout.js";
import type { Frame } from "./frame.js";

/** Splits a stream of bytes into frames. */
export class FrameDecoder {
    private chunks: Buffer[] = [];
    private byteCount = 0;

    /**
     * @param maxFrameBytes - size from which a frame is refused
     */
    constructor(private readonly maxFrameBytes: number) {}

    /**
     * Adds received bytes.
     * @param chunk - the bytes
     * @returns the frames that are complete now; `undefined` when the bytes are no valid frames
     */
    decodeChunk(chunk: Buffer): Frame[] | undefined {
        this.chunks.push(chunk);
        this.byteCount += chunk.length;
        const frames: Frame[] = [];
        for (;;) {
            const frameBytes = this.readFrameBytes();
            if (frameBytes !== undefined && (frameBytes > this.maxFrameBytes || frameBytes < frameLayout.path)) {
                return undefined;
            }
            if (frameBytes === undefined || this.byteCount < frameBytes) {
                return frames;
            }
            const frame = decodeFrame(this.takeBytes(frameBytes));
            if (frame === undefined) {
                return undefined;
            }
            frames.push(frame);
        }
    }

    /** Returns the size of the first frame with its length field, or `undefined` while that has not arrived. */
    private readFrameBytes(): number | undefined {
        if (this.byteCount < frameLayout.kind) {
            return undefined;
        }
        return this.mergeChunks().readUInt32BE(frameLayout.length) + frameLayout.kind;
    }

    private takeBytes(count: number): Buffer {
        const bytes = this.mergeChunks();
        this.byteCount -= count;
        this.chunks = this.byteCount === 0 ? [] : [bytes.subarray(count)];
        return bytes.subarray(0, count);
    }

    /** Merges the chunks into one only when the first frame is complete, so that a large frame is copied once. */
    private mergeChunks(): Buffer {
        const [first] = this.chunks;
        const isLengthInFirst = first !== undefined && first.length >= frameLayout.kind;
        if (isLengthInFirst && first.readUInt32BE(frameLayout.length) + frameLayout.kind > this.byteCount) {
            return first;
        }
        const merged = this.chunks.length === 1 && first !== undefined ? first : Buffer.concat(this.chunks);
        this.chunks = [merged];
        return merged;
    }
}

function decodeFrame(bytes: Buffer): Frame | undefined {
    const bodyStart = frameLayout.path + bytes.readUInt8(frameLayout.pathLength);
    if (bodyStart > bytes.length) {
        return undefined;
    }
    return {
        kind: bytes.readUInt8(frameLayout.kind) as FrameKind,
        id: bytes.readUInt32BE(frameLayout.id),
        status: bytes.readUInt16BE(frameLayout.status),
        path: bytes.toString("utf8", frameLayout.path, bodyStart),
        body: bytes.subarray(bodyStart),
    };
}
