import { HeaderName } from "@daisylock/protocol/http/header-name.js";
import type { AnnouncementResponse } from "@daisylock/protocol/target/announcement-response.js";
import type { Announcement } from "@daisylock/protocol/target/announcement.js";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";

import type { FakeTargetOptions } from "./fake-target-options.js";
import { sendAnnouncement } from "./send-announcement.js";
import { TargetFault } from "./target-fault.js";
import type { TargetRun } from "./target-run.js";

const lateResponseDelayMs = 3_000;

/** Fake target for tests and experiments: announces itself, responds to requests, and injects faults on demand. */
export class FakeTarget {
    fault = TargetFault.None;
    /** Highest number of requests in progress at once. */
    peakRunning = 0;
    private readonly server: Server;
    private readonly running = new Map<string, TargetRun>();
    private readonly sockets = new Set<Socket>();
    /** Connections on which requests are ignored, to simulate half-open connections. */
    private ignoredSockets = new Set<Socket>();
    private incarnation = Date.now();
    private timer: NodeJS.Timeout | undefined;
    private isLeaving = false;
    /** Announcement interval that the entries request, milliseconds; 0 when not above the minimum of 1 s. */
    private requestedAnnounceMs = 0;
    /** Addresses of the entries that have confirmed that they send the target no new requests. */
    private releasedBy = new Set<string>();

    /**
     * @param options - VM, addresses, capacity and timing
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

    /** Starts listening and sending announcements. */
    async start(): Promise<void> {
        const [host = "", port = ""] = this.options.address.split(":");
        await new Promise<void>(resolve => this.server.listen(Number(port), host, resolve));
        this.sendAnnouncements();
    }

    /** Closes all connections immediately, as when the process is killed. */
    async stop(): Promise<void> {
        clearTimeout(this.timer);
        this.running.clear();
        const closed = new Promise(resolve => this.server.close(resolve));
        this.server.closeAllConnections();
        await closed;
    }

    /** Starts again after {@link stop}, as a new incarnation. */
    async startAgain(): Promise<void> {
        this.incarnation = Math.max(Date.now(), this.incarnation + 1);
        this.isLeaving = false;
        await this.start();
    }

    /**
     * Sets the fault that the target injects from now on.
     * @param fault - the fault; `None` to respond normally
     */
    setFault(fault: TargetFault): void {
        this.fault = fault;
        this.ignoredSockets = new Set(fault === TargetFault.HalfOpenConnections ? this.sockets : []);
    }

    /**
     * Announces that the target is leaving, and resolves once every entry has confirmed its release. Keeps listening.
     */
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
     * Counts the requests in progress.
     * @returns number of requests
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
                response => this.handleResponse(entry, response),
                () => undefined,
            );
        }
        this.timer = setTimeout(
            () => this.sendAnnouncements(),
            Math.max(this.options.announceMs, this.requestedAnnounceMs),
        );
    }

    private handleResponse(entry: string, response: AnnouncementResponse | undefined): void {
        // Entries request at least this interval. A request for just the minimum is ignored, so that tests can announce
        // more often.
        const minAnnounceMs = 1_000;
        this.requestedAnnounceMs = response === undefined || response.announceMs <= minAnnounceMs
            ? 0
            : response.announceMs;
        if (this.isLeaving && response?.isReleased === true) {
            this.releasedBy.add(entry);
        }
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (this.ignoredSockets.has(request.socket)) {
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
        const bodyBytes = await countBodyBytes(request);
        if (this.fault === TargetFault.Stall) {
            await new Promise(resolve => request.socket.once("close", resolve));
            return;
        }
        const extraMs = this.fault === TargetFault.Late ? lateResponseDelayMs : 0;
        await new Promise(resolve => setTimeout(resolve, this.options.pickServiceMs() + extraMs));
        this.sendResponse(run, bodyBytes, response);
    }

    private sendResponse(run: TargetRun, bodyBytes: number, response: ServerResponse): void {
        const body = Buffer.from(
            JSON.stringify({ vm: this.options.vm, requestId: run.requestId, received: bodyBytes }),
        );
        response.writeHead(200, { "content-type": "application/json", "content-length": body.length });
        if (this.fault === TargetFault.Truncate) {
            response.write(body.subarray(0, body.length / 2), () => response.destroy());
            return;
        }
        response.end(body);
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
