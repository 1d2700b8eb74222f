import { TargetAvailability } from "@daisylock/core/admission/target-availability.js";
import { describeIssues } from "@daisylock/protocol/operator/describe-issues.js";
import type { AnnouncementResponse } from "@daisylock/protocol/target/announcement-response.js";
import { announcementSchema } from "@daisylock/protocol/target/announcement-schema.js";
import type { Announcement } from "@daisylock/protocol/target/announcement.js";
import type { IncomingMessage, ServerResponse } from "node:http";
import * as v from "valibot";

import type { FaultListener } from "../../../containment/fault-listener.js";
import { HttpWorker } from "../../../http/http-worker.js";
import { isTokenValid } from "../../../http/is-token-valid.js";
import { readJson } from "../../../http/read-json.js";
import { sendJson } from "../../../http/send-json.js";
import type { EntryState } from "../entry-state.js";
import type { TargetRegistry } from "./target-registry.js";

const pathPattern = /^\/v1\/targets\/([a-z0-9][a-z0-9._-]{0,62})$/;
const maxAnnouncementBytes = 256 * 1024;

/** HTTP listener for announcements of targets. */
export class TargetListener extends HttpWorker {
    override readonly name = "target-listener";

    /**
     * @param address - address to listen on
     * @param state - state of the entry
     * @param registry - registry in which announcements are recorded
     * @param noteFault - called with each fault of a request
     */
    constructor(
        address: string,
        private readonly state: EntryState,
        private readonly registry: TargetRegistry,
        noteFault: FaultListener,
    ) {
        super(address, state.settings.limits, noteFault);
    }

    protected override async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (!isTokenValid(request, this.state.settings.cluster.target_token)) {
            sendJson(response, 401, { type: "not-authorized" });
            return;
        }
        const vm = pathPattern.exec(request.url ?? "")?.[1];
        if (vm === undefined || request.method !== "PUT") {
            sendJson(response, 404, { type: "not-found" });
            return;
        }
        const body = await readJson(request, maxAnnouncementBytes);
        const parsed = v.safeParse(announcementSchema, body.isOk ? body.value : undefined);
        if (!parsed.success) {
            sendJson(response, 400, { type: "malformed", faults: describeIssues(parsed.issues) });
            return;
        }
        this.serveAnnouncement(vm, parsed.output, response);
    }

    /** Records an announcement. The pool of a VM comes from the tables alone; targets cannot choose it. */
    private serveAnnouncement(vm: string, announcement: Announcement, response: ServerResponse): void {
        const pool = this.state.tables.objects.vm.get(vm)?.value.pool;
        if (pool === undefined) {
            sendJson(response, 403, { type: "not-assigned" });
            return;
        }
        if (!this.registry.recordAnnouncement(vm, announcement)) {
            sendJson(response, 409, { type: "incarnation-outdated" });
            return;
        }
        const isLeaving = this.registry.find(vm)?.state === TargetAvailability.Leaving;
        const reply: AnnouncementResponse = {
            announceMs: this.registry.computeInterval(),
            leaseMs: this.registry.computeLease(),
            pool,
            isReleased: isLeaving && this.state.releasedTargets.has(vm),
        };
        sendJson(response, 200, reply);
    }
}
