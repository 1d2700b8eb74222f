import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";

/** What a stand-in platform does with VMs. */
interface FakePlatformOptions {
    readonly address: string;
    /** Time that a reboot takes, milliseconds. */
    readonly rebootMs: number;
    /** Stops and starts a VM's target. */
    readonly stopVm: (vm: string) => Promise<void>;
    readonly startVm: (vm: string) => Promise<void>;
}

/** A platform for tests: reboots VMs by id of the operation, and can lose answers, be slow, lie, or lose VMs. */
export class FakePlatform {
    /** Reboots that were really done, by VM. */
    readonly rebootCounts = new Map<string, number>();
    /** Answers still to be lost; the operation is carried out all the same. */
    responsesToDrop = 0;
    /** VMs that do not come back. */
    readonly lostVms = new Set<string>();
    /** VMs whose reboot is confirmed and not done. */
    readonly falselyConfirmedVms = new Set<string>();
    private readonly startedOperations = new Set<string>();
    private readonly server: Server;

    /**
     * @param options - address and the VMs
     */
    constructor(private readonly options: FakePlatformOptions) {
        this.server = createServer((request, response) => {
            this.serve(request, response).catch(() => response.destroy());
        });
    }

    /** Starts to serve. */
    async start(): Promise<void> {
        const [host = "", port = ""] = this.options.address.split(":");
        await new Promise<void>(resolve => this.server.listen(Number(port), host, resolve));
    }

    /** Stops serving. */
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
