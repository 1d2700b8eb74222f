import type { AdmissionState } from "@daisylock/core/admission/admission-state.js";
import type { EventRecord } from "@daisylock/core/events/event-record.js";
import type { OperateReply, OperateRequest } from "@daisylock/protocol/generated/peer.js";
import { KeeperAction } from "@daisylock/protocol/operator/keeper-action.js";
import { keeperRequestSchema } from "@daisylock/protocol/operator/keeper-request-schema.js";
import * as v from "valibot";

import type { PeerClients } from "../../peer/peer-clients.js";
import type { Settings } from "../../settings/settings.js";
import type { EntryState } from "../entry/entry-state.js";
import type { Keeper } from "../keeper/keeper.js";
import { parseJson } from "../keeper/operator-api/parse-json.js";

const eventsTimeoutMs = 1_500;
const maxEventsPerProcess = 5_000;

/** Handles the operator requests that any process answers itself, without the leader. */
export class LocalRequestHandler {
    /**
     * @param settings - settings of the process
     * @param keeper - keeper of the process; `undefined` when it has none
     * @param entryState - state of the entry of the process; `undefined` when it has none
     * @param clients - connections to other processes
     */
    constructor(
        private readonly settings: Settings,
        private readonly keeper: Keeper | undefined,
        private readonly entryState: EntryState | undefined,
        private readonly clients: PeerClients,
    ) {}

    /**
     * Handles a request if this process can answer it itself.
     * @param request - the request
     * @returns the reply, or `undefined` when the leader has to handle the request
     */
    async handle(request: OperateRequest): Promise<OperateReply | undefined> {
        const url = new URL(request.path, "http://local");
        if (request.method === "GET" && url.pathname === "/v1/process") {
            return this.describeProcess();
        }
        if (request.method === "GET" && url.pathname === "/v1/events") {
            return this.collectEvents(Number(url.searchParams.get("since") ?? 0));
        }
        if (request.method === "POST" && url.pathname === "/v1/keepers") {
            return this.startCluster(request);
        }
        return undefined;
    }

    private describeProcess(): OperateReply {
        const { node } = this.settings;
        const keeper = this.keeper?.readView();
        const residentBytes = process.memoryUsage().rss;
        const cpuUsage = process.cpuUsage();
        const body = {
            name: node.name,
            zone: node.zone,
            roles: node.roles,
            keeper: keeper?.id,
            role: keeper?.role,
            term: keeper?.term,
            admission: this.entryState === undefined ? undefined : describeAdmission(this.entryState.admission),
            memoryBytes: residentBytes,
            processorMicroseconds: cpuUsage.user + cpuUsage.system,
        };
        return { status: 200, body: JSON.stringify(body) };
    }

    private async collectEvents(sinceMs: number): Promise<OperateReply> {
        const { keepers, entries } = this.settings.cluster;
        const addresses = [...new Set([...keepers, ...entries])];
        const unresponsive: string[] = [];
        let dropped = 0;
        const events = await Promise.all(addresses.map(async address => {
            const request = { sinceMs, limit: maxEventsPerProcess };
            const reply = await this.clients.send(address, "readEvents", request, eventsTimeoutMs);
            if (reply.isErr) {
                unresponsive.push(address);
                return [];
            }
            dropped += reply.value.dropped;
            return reply.value.events.map(text => JSON.parse(text) as EventRecord);
        }));
        const ordered = events.flat().sort(compareEvents);
        return { status: 200, body: JSON.stringify({ events: ordered, silent: unresponsive, dropped }) };
    }

    private async startCluster(request: OperateRequest): Promise<OperateReply | undefined> {
        const parsed = v.safeParse(keeperRequestSchema, parseJson(request.body));
        if (!parsed.success || parsed.output.action !== KeeperAction.Bootstrap) {
            return undefined;
        }
        if (this.keeper === undefined) {
            return { status: 409, body: JSON.stringify({ type: "not-a-keeper" }) };
        }
        const isBootstrapped = await this.keeper.startCluster(this.settings.listen.peers);
        if (isBootstrapped.isErr) {
            return { status: 503, body: JSON.stringify({ type: isBootstrapped.error }) };
        }
        return isBootstrapped.value
            ? { status: 200, body: JSON.stringify({ keeper: this.keeper.readView()?.id }) }
            : { status: 409, body: JSON.stringify({ type: "already-bootstrapped" }) };
    }
}

function describeAdmission(admission: AdmissionState): unknown {
    const targets = [...admission.targets.values()].filter(target => target.allowed > 0 || target.inUse > 0);
    return {
        waiting: admission.waiting,
        teams: Object.fromEntries([...admission.teams].map(([team, limit]) => [team, { ...limit }])),
        slots: targets.map(({ vm, pool, allowed, inUse, health }) => ({
            vm,
            pool,
            allowed,
            inUse,
            health: health.state,
        })),
    };
}

function compareEvents(a: EventRecord, b: EventRecord): number {
    return a.time.wallMs - b.time.wallMs || a.time.counter - b.time.counter || (a.process < b.process ? -1 : 1);
}
