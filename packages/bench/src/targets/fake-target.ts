import { HeaderName } from "@daisylock/protocol/http/header-name.js";
import type { AnnouncementReply } from "@daisylock/protocol/target/announcement-reply.js";
import type { Announcement } from "@daisylock/protocol/target/announcement.js";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";

import type { FakeTargetOptions } from "./fake-target-options.js";
import { sendAnnouncement } from "./send-announcement.js";
import { TargetFault } from "./target-fault.js";
import type { TargetRun } from "./target-run.js";

const lateResponseDelayMs = 3_000;

/** A target for tests and experiments: announces itself, answers, and fails on demand. */
export class FakeTarget {
    fault = TargetFault.None;
    /** Most requests that ran at once. */
    peakRunning = 0;
    private readonly server: Server;
    private readonly running = new Map<string, TargetRun>();
    private readonly sockets = new Set<Socket>();
    private silentSockets = new Set<Socket>();
    private incarnation = Date.now();
    private timer: NodeJS.Timeout | undefined;
    private isLeaving = false;
    /** Interval that the entries ask for, milliseconds. */
    private requestedAnnounceMs = 0;
    private releasedBy = new Set<string>();

    /**
     * @param options - how it is set up
     */
    constructor(private readonly options: FakeTargetOptions) {
        this.server = createServer({ keepAliveTimeout: 60_000, requestTimeout: 0 }, (request, response) => {
            this.serve(request, response).catch(() => response.destroy());
        });
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.once("close", () => this.sockets.delete(socket));
        });
    }

    /** Starts to serve and to announce itself. */
    async start(): Promise<void> {
        const [host = "", port = ""] = this.options.address.split(":");
        await new Promise<void>(resolve => this.server.listen(Number(port), host, resolve));
        this.sendAnnouncements();
    }

    /** Stops at once, as a process that is killed. */
    async stop(): Promise<void> {
        clearTimeout(this.timer);
        this.running.clear();
        const closed = new Promise(resolve => this.server.close(resolve));
        this.server.closeAllConnections();
        await closed;
    }

    /** Starts again after stop, as a new incarnation. */
    async startAgain(): Promise<void> {
        this.incarnation = Math.max(Date.now(), this.incarnation + 1);
        this.isLeaving = false;
        await this.start();
    }

    /**
     * Sets what the target does wrong from now on.
     * @param fault - the fault
     */
    setFault(fault: TargetFault): void {
        this.fault = fault;
        this.silentSockets = new Set(fault === TargetFault.SilentConnections ? this.sockets : []);
    }

    /** Announces that it takes no new work, and resolves once no entry sends it any. */
    async stopGracefully(): Promise<void> {
        this.isLeaving = true;
        this.releasedBy = new Set();
        clearTimeout(this.timer);
        this.sendAnnouncements();
        while (this.releasedBy.size < this.options.announceTo.length) {
            await new Promise(resolve => setTimeout(resolve, 50));
        }
    }

    /**
     * Counts the requests that it runs.
     * @returns their number
     */
    countRunning(): number {
        return this.running.size;
    }

    private sendAnnouncements(): void {
        const announcement: Announcement = {
            address: this.options.address,
            incarnation: this.incarnation,
            slots: this.options.slots,
            state: this.isLeaving ? "leaving" : "ready",
            running: [...this.running.values()].map(run => ({ dispatch: run.dispatchId, team: run.team })),
        };
        for (const entry of this.options.announceTo) {
            sendAnnouncement(entry, this.options.vm, this.options.token, announcement).then(
                reply => this.handleReply(entry, reply),
                () => undefined,
            );
        }
        this.timer = setTimeout(
            () => this.sendAnnouncements(),
            Math.max(this.options.announceMs, this.requestedAnnounceMs),
        );
    }

    private handleReply(entry: string, reply: AnnouncementReply | undefined): void {
        // Tests may announce more often than the least interval that entries ask for.
        const leastMs = 1_000;
        this.requestedAnnounceMs = reply === undefined || reply.announceMs <= leastMs ? 0 : reply.announceMs;
        if (this.isLeaving && reply?.isReleased === true) {
            this.releasedBy.add(entry);
        }
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (this.silentSockets.has(request.socket)) {
            return;
        }
        const run = this.startRun(request);
        try {
            await this.serveRun(run, request, response);
        }
        finally {
            run.endedAt = performance.now();
            this.running.delete(run.dispatchId);
        }
    }

    private startRun(request: IncomingMessage): TargetRun {
        const run: TargetRun = {
            vm: this.options.vm,
            requestId: String(request.headers[HeaderName.RequestId]),
            dispatchId: String(request.headers[HeaderName.DispatchId]),
            team: String(request.headers[HeaderName.Team]),
            startedAt: performance.now(),
            endedAt: undefined,
        };
        this.running.set(run.dispatchId, run);
        this.peakRunning = Math.max(this.peakRunning, this.running.size);
        this.options.recordRun?.(run);
        return run;
    }

    private async serveRun(run: TargetRun, request: IncomingMessage, response: ServerResponse): Promise<void> {
        response.setHeader(
            HeaderName.DispatchId,
            this.fault === TargetFault.WrongDispatchId ? "another" : run.dispatchId,
        );
        if (this.fault === TargetFault.Fail) {
            request.resume();
            response.writeHead(500, { "content-length": 0 }).end();
            return;
        }
        if (request.url?.startsWith("/echo") === true) {
            await serveEcho(request, response);
            return;
        }
        const received = await countBodyBytes(request);
        if (this.fault === TargetFault.Stall) {
            await new Promise(resolve => request.socket.once("close", resolve));
            return;
        }
        const extraMs = this.fault === TargetFault.Late ? lateResponseDelayMs : 0;
        await new Promise(resolve => setTimeout(resolve, this.options.pickServiceMs() + extraMs));
        this.sendResponse(run, received, response);
    }

    private sendResponse(run: TargetRun, received: number, response: ServerResponse): void {
        const answer = Buffer.from(JSON.stringify({ vm: this.options.vm, requestId: run.requestId, received }));
        response.writeHead(200, { "content-type": "application/json", "content-length": answer.length });
        if (this.fault === TargetFault.Truncate) {
            response.write(answer.subarray(0, answer.length / 2), () => response.destroy());
            return;
        }
        response.end(answer);
    }
}

async function countBodyBytes(request: IncomingMessage): Promise<number> {
    let bytes = 0;
    for await (const chunk of request) {
        bytes += (chunk as Buffer).length;
    }
    return bytes;
}

async function serveEcho(request: IncomingMessage, response: ServerResponse): Promise<void> {
    response.writeHead(200, { "content-type": "application/octet-stream" });
    request.pipe(response);
    await new Promise(resolve => response.once("close", resolve));
}
