import { createServer } from "node:http";

/** A stand-in for the platform's service of machines: lists them as they are, and takes no duty in a single pool. */
export class VmService {
    constructor(record) {
        this.record = record;
        /** Machines by name, as listed. */
        this.machines = new Map();
        this.server = createServer((request, response) => {
            const path = request.url.replace(/\?.*$/, "");
            request.resume();
            const isList = request.method === "GET" && path === "/machines";
            if (!isList) {
                record.note("machine order", { path });
            }
            response.writeHead(isList ? 200 : 409, { "content-type": "application/json" });
            response.end(JSON.stringify(isList ? { machines: [...this.machines.values()] } : { reason: "busy" }));
        });
    }

    async start(host) {
        await new Promise(resolve => this.server.listen(0, host, resolve));
        return `${host}:${this.server.address().port}`;
    }

    set(machine, fields) {
        this.machines.set(machine, { ...this.machines.get(machine), machine, ...fields });
    }

    stop() {
        this.server.closeAllConnections();
        this.server.close();
    }
}
