import { CommandKind } from "@daisylock/core/control/command-kind.js";
import { StartWaveOutcome } from "@daisylock/core/control/start-wave-outcome.js";
import { buildMaintenanceView } from "@daisylock/core/reboot-waves/build-maintenance-view.js";
import { computeWaveEstimate } from "@daisylock/core/reboot-waves/compute-wave-estimate.js";
import type { Tables } from "@daisylock/core/tables/tables.js";
import type { OperateRequest } from "@daisylock/protocol/generated/peer.js";
import { describeIssues } from "@daisylock/protocol/operator/describe-issues.js";
import { waveStartSchema } from "@daisylock/protocol/operator/wave-start-schema.js";
import * as v from "valibot";

import type { OperatorContext } from "./operator-context.js";
import type { OperatorResult } from "./operator-result.js";
import { parseJson } from "./parse-json.js";

/** Assumed time for which maintenance makes one VM unavailable, for estimates. */
const estimatedVmMs = 5 * 60_000;

const statuses: Record<StartWaveOutcome, number> = {
    [StartWaveOutcome.Started]: 200,
    [StartWaveOutcome.Overlap]: 409,
    [StartWaveOutcome.UnknownVm]: 422,
};

/**
 * Starts a reboot wave, or only estimates its duration if `isPlanOnly` is set.
 * @param context - components of the leader
 * @param request - id of the wave and its VMs or pools; all VMs when neither is given
 * @returns the outcome and the estimate
 */
export async function handleWaveStart(context: OperatorContext, request: OperateRequest): Promise<OperatorResult> {
    const parsed = v.safeParse(waveStartSchema, parseJson(request.body));
    const allocation = context.allocator.readAllocationState();
    if (!parsed.success || allocation === undefined) {
        return { status: 400, body: { type: "malformed", faults: describeIssues(parsed.issues ?? []) } };
    }
    const { waveId, pools, isPlanOnly } = parsed.output;
    const vms = parsed.output.vms ?? listVms(allocation.tables, pools);
    const { fleet, budgets } = buildMaintenanceView(allocation);
    const estimate = computeWaveEstimate(vms, fleet, budgets, estimatedVmMs);
    if (isPlanOnly) {
        return { status: 200, body: { waveId, vms: vms.length, estimate } };
    }
    const at = context.clock.readWall();
    const result = await context.keeper.sendCommand({ kind: CommandKind.StartWave, waveId, vms, at });
    if (result.isErr) {
        return { status: 503, body: { type: "not-confirmed", reason: result.error.kind, waveId } };
    }
    return { status: statuses[result.value.outcome], body: { waveId, vms: vms.length, ...result.value, estimate } };
}

function listVms(tables: Tables, pools: readonly string[] | undefined): string[] {
    const records = [...tables.objects.vm.values()];
    return records.filter(({ value }) => pools === undefined || pools.includes(value.pool)).map(({ name }) => name);
}
