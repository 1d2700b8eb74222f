import type { Socket } from "node:net";

import { encodeFrame } from "./encode-frame.js";
import { FrameDecoder } from "./frame-decoder.js";
import { FrameKind } from "./frame-kind.js";
import type { Frame } from "./frame.js";
import type { NoticeSender } from "./notice-sender.js";

/** Largest frame, bytes. A chunk of a snapshot or a whole configuration is much smaller. */
const maxFrameBytes = 16 * 1024 * 1024;
/** Bytes that may wait for a peer that does not read; beyond it, the connection is closed. */
const maxQueuedBytes = 32 * 1024 * 1024;
/** Shortest time between two writes, milliseconds. No longer than a write to disk, which most messages wait for anyway. */
const minWriteIntervalMs = 8;
/** Idle time after which the kernel probes whether the peer still exists, milliseconds. */
const keepAliveDelayMs = 5_000;
const emptyBody = Buffer.alloc(0);

/** Callbacks of a connection. */
interface ConnectionHandlers {
    /** Called for each request and response. */
    readonly handleFrame: (frame: Frame) => void;
    /** Called once, when the connection has ended. */
    readonly handleClose: () => void;
    /** Called with a fault of handling or building a frame, which also ends the connection. */
    readonly handleFault: (error: unknown) => void;
}

/**
 * One end of a channel: frames in both directions over one connection. Under load, the frames of some milliseconds are
 * written together, which costs far less than a write for each.
 */
export class ChannelConnection implements NoticeSender {
    private readonly decoder = new FrameDecoder(maxFrameBytes);
    /** Encoded frames, and builders of frames whose content is not complete yet. */
    private queued: (Buffer | (() => Frame))[] = [];
    /** Called when the queued frames are handed to the network. */
    private writtenHandlers: (() => void)[] = [];
    private lastReceivedAt: number;
    private lastWrittenAt = Number.NEGATIVE_INFINITY;
    /** When the oldest ping without an answer was sent, monotonic milliseconds. */
    private pingedAt: number | undefined;
    private isWriteScheduled = false;
    private isClosed = false;

    /**
     * @param socket - the connection
     * @param handlers - callbacks
     * @param readNow - reads monotonic milliseconds
     */
    constructor(
        private readonly socket: Socket,
        private readonly handlers: ConnectionHandlers,
        private readonly readNow: () => number,
    ) {
        this.lastReceivedAt = readNow();
        socket.setNoDelay(true);
        socket.setTimeout(0);
        socket.setKeepAlive(true, keepAliveDelayMs);
        socket.on("data", (chunk: Buffer) => this.receiveChunk(chunk));
        // An error is followed by the close of the connection.
        socket.on("error", () => undefined);
        socket.on("end", () => socket.end());
        socket.on("close", () => this.handleClose());
    }

    /**
     * Sends a frame. On a connection that has ended it is dropped.
     * @param frame - the frame
     * @param handleWritten - called when the frame is handed to the network
     * @throws RangeError for a frame that can't be encoded, which changes nothing
     */
    sendFrame(frame: Frame, handleWritten?: () => void): void {
        if (this.isClosed) {
            return;
        }
        this.queued.push(...encodeFrame(frame));
        if (handleWritten !== undefined) {
            this.writtenHandlers.push(handleWritten);
        }
        this.scheduleWrite();
    }

    scheduleNotice(path: string, buildBody: () => Buffer): boolean {
        if (this.isClosed) {
            return false;
        }
        this.queued.push(() => ({ kind: FrameKind.Notice, id: 0, status: 0, path, body: buildBody() }));
        this.scheduleWrite();
        return true;
    }

    /**
     * Computes for how long the peer has left a ping unanswered, and sends one when it has been silent for a while.
     * @param pingAfterMs - silence after which the peer is asked to show that it responds, milliseconds
     * @returns milliseconds; 0 while no ping is unanswered
     */
    checkSilence(pingAfterMs: number): number {
        const now = this.readNow();
        if (this.pingedAt === undefined && now - this.lastReceivedAt > pingAfterMs) {
            this.pingedAt = now;
            this.sendFrame({ kind: FrameKind.Ping, id: 0, status: 0, path: "", body: emptyBody });
        }
        return this.pingedAt === undefined ? 0 : now - this.pingedAt;
    }

    /** Counts the silence anew, after this process itself was unable to receive. */
    restoreSilence(): void {
        this.lastReceivedAt = this.readNow();
        this.pingedAt = undefined;
    }

    /**
     * Handles received bytes. Called from outside only with those that arrived together with the upgrade.
     * @param chunk - the bytes
     */
    receiveChunk(chunk: Buffer): void {
        this.restoreSilence();
        const frames = this.decoder.decodeChunk(chunk);
        if (frames === undefined) {
            this.close();
            return;
        }
        try {
            frames.forEach(frame => this.handleFrame(frame));
        }
        catch (error) {
            this.handlers.handleFault(error);
            this.close();
        }
    }

    /** Closes the connection; frames that are not written yet are dropped. */
    close(): void {
        this.socket.destroy();
        this.handleClose();
    }

    /** Closes the connection once the queued frames are written. */
    closeAfterWriting(): void {
        this.writeQueued();
        this.socket.end();
    }

    /**
     * The first frame after a pause is written at once; under load, frames wait for a common write. An immediate that is set
     * by another one runs after the next events from the network, which take long in a busy process; a timer runs before.
     */
    private scheduleWrite(): void {
        if (this.isWriteScheduled) {
            return;
        }
        this.isWriteScheduled = true;
        const delayMs = this.lastWrittenAt + minWriteIntervalMs - this.readNow();
        const write = (): void => {
            clearTimeout(timer);
            clearImmediate(immediate);
            this.isWriteScheduled = false;
            this.writeQueued();
        };
        const timer = setTimeout(write, Math.max(1, delayMs));
        const immediate = delayMs > 0 ? undefined : setImmediate(write);
    }

    private writeQueued(): void {
        const queued = this.queued;
        const writtenHandlers = this.writtenHandlers;
        this.queued = [];
        this.writtenHandlers = [];
        if (this.isClosed || queued.length === 0) {
            return;
        }
        this.lastWrittenAt = this.readNow();
        let bytes: Buffer;
        try {
            bytes = Buffer.concat(queued.flatMap(part => typeof part === "function" ? encodeFrame(part()) : [part]));
        }
        catch (error) {
            this.handlers.handleFault(error);
            this.close();
            return;
        }
        this.socket.write(bytes, () => writtenHandlers.forEach(handle => handle()));
        if (this.socket.writableLength > maxQueuedBytes) {
            this.close();
        }
    }

    private handleFrame(frame: Frame): void {
        if (frame.kind === FrameKind.Ping) {
            this.sendFrame({ ...frame, kind: FrameKind.Pong });
        }
        else if (frame.kind !== FrameKind.Pong) {
            this.handlers.handleFrame(frame);
        }
    }

    private handleClose(): void {
        if (!this.isClosed) {
            this.isClosed = true;
            this.queued = [];
            this.handlers.handleClose();
        }
    }
}
