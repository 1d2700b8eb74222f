import { createServer } from "node:http";

/** Time that a move or an upkeep takes, milliseconds: `moveS` and `upkeepS` of the sites. */
const dutyMs = { "/machine-move": 1_500, "/machine-upkeep": 2_000 };
const dutyState = { "/machine-move": "moving", "/machine-upkeep": "upkeep" };

/** A stand-in for the platform's service of machines: lists them as they are, moves them and takes them down for upkeep. */
export class VmService {
    /**
     * @param record - record of the run
     * @param handlers - what to do with the executor of a machine that leaves its pool, and of one that joins a pool
     */
    constructor(record, { endExecutor = async () => undefined, startExecutor = async () => undefined } = {}) {
        Object.assign(this, { record, endExecutor, startExecutor });
        /** Machines by name, as listed. */
        this.machines = new Map();
        this.tokens = new Map();
        this.server = createServer((request, response) => void this.serve(request, response));
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

    async serve(request, response) {
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const path = request.url.replace(/\?.*$/, "");
        if (request.method === "GET" && path === "/machines") {
            sendReply(response, 200, { machines: [...this.machines.values()] });
            return;
        }
        const body = JSON.parse(Buffer.concat(chunks).toString() || "{}");
        const { status, reason } = this.takeDuty(path, body, Number(request.headers["daisylock-fencing-token"] ?? 0));
        this.record.note("machine order", { path, ...body, status, reason });
        sendReply(response, status, reason === undefined ? {} : { reason });
    }

    takeDuty(path, { machine, pool }, token) {
        const known = this.machines.get(machine);
        if (known === undefined || dutyMs[path] === undefined) {
            return { status: 400 };
        }
        if (token < (this.tokens.get(machine) ?? 0)) {
            return { status: 409, reason: "fence" };
        }
        this.tokens.set(machine, token);
        if (path === "/machine-move" && known.pool === pool) {
            return { status: 200 };
        }
        if (known.state !== "up") {
            return { status: 409, reason: "busy" };
        }
        this.set(machine, { state: dutyState[path], id: "" });
        void this.carryOut(machine, known.id, pool ?? known.pool, dutyMs[path]);
        return { status: 200 };
    }

    async carryOut(machine, id, pool, forMs) {
        if (id !== "") {
            await this.endExecutor(id);
        }
        await new Promise(resolve => setTimeout(resolve, forMs));
        this.set(machine, { pool, state: "up" });
        const next = await this.startExecutor(machine, pool);
        this.set(machine, { id: next ?? "" });
    }
}

function sendReply(response, status, content) {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(content));
}
