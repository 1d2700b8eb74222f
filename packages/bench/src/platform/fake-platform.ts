import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";

/** Options of a fake platform. */
interface FakePlatformOptions {
    /** Address to listen on, as `host:port`. */
    readonly address: string;
    /** Duration of a reboot, milliseconds. */
    readonly rebootMs: number;
    /** Stops the target of a VM. */
    readonly stopVm: (vm: string) => Promise<void>;
    /** Starts the target of a VM. */
    readonly startVm: (vm: string) => Promise<void>;
}

/**
 * Fake of the platform that reboots VMs, for tests. A repeated request with the same operation id starts no new reboot.
 * On demand it drops responses, confirms reboots that it does not carry out, or loses VMs.
 */
export class FakePlatform {
    /** Number of reboots that were carried out, by VM. */
    readonly rebootCounts = new Map<string, number>();
    /** Number of responses still to drop. The reboot is carried out nevertheless. */
    responsesToDrop = 0;
    /** VMs that do not start again after a reboot. */
    readonly lostVms = new Set<string>();
    /** VMs whose reboot is confirmed but not carried out. */
    readonly falselyConfirmedVms = new Set<string>();
    private readonly startedOperations = new Set<string>();
    private readonly server: Server;

    /**
     * @param options - address, and how to stop and start VMs
     */
    constructor(private readonly options: FakePlatformOptions) {
        this.server = createServer((request, response) => {
            this.serve(request, response).catch(() => response.destroy());
        });
    }

    /** Starts listening. */
    async start(): Promise<void> {
        const [host = "", port = ""] = this.options.address.split(":");
        await new Promise<void>(resolve => this.server.listen(Number(port), host, resolve));
    }

    /** Stops listening and closes all connections. */
    stop(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const chunks: Buffer[] = [];
        for await (const chunk of request) {
            chunks.push(chunk as Buffer);
        }
        const operationId = request.url?.split("/").at(-1) ?? "";
        const { vm } = JSON.parse(Buffer.concat(chunks).toString()) as { vm: string };
        if (!this.startedOperations.has(operationId)) {
            this.startedOperations.add(operationId);
            void this.runReboot(vm);
        }
        if (this.responsesToDrop > 0) {
            this.responsesToDrop -= 1;
            response.destroy();
            return;
        }
        response.writeHead(202, { "content-length": 0 }).end();
    }

    private async runReboot(vm: string): Promise<void> {
        if (this.falselyConfirmedVms.has(vm)) {
            return;
        }
        this.rebootCounts.set(vm, (this.rebootCounts.get(vm) ?? 0) + 1);
        await this.options.stopVm(vm);
        await new Promise(resolve => setTimeout(resolve, this.options.rebootMs));
        if (!this.lostVms.has(vm)) {
            await this.options.startVm(vm);
        }
    }
}
