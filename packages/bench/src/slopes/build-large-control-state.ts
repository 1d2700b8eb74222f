import { applyCommand } from "@daisylock/core/control/apply-command.js";
import { CommandKind } from "@daisylock/core/control/command-kind.js";
import type { ControlState } from "@daisylock/core/control/control-state.js";
import { createControlState } from "@daisylock/core/control/create-control-state.js";
import { IsolationPolicy } from "@daisylock/core/tables/isolation-policy.js";
import { ObjectKind } from "@daisylock/core/tables/object-kind.js";
import { RouteAccess } from "@daisylock/core/tables/route-access.js";
import type { TableEdit } from "@daisylock/core/tables/table-edit.js";

/** Number of objects of each kind, and of availability zones. */
interface TableSizes {
    readonly vms: number;
    readonly pools: number;
    readonly teams: number;
    readonly keys: number;
    readonly zones: number;
}

/**
 * Builds the replicated state of a large fleet.
 * @param sizes - number of objects of each kind, and of availability zones
 * @returns the state after one change that adds all objects
 */
export function buildLargeControlState(sizes: TableSizes): ControlState {
    const state = createControlState();
    const edits: TableEdit[] = [];
    for (let pool = 0; pool < sizes.pools; pool++) {
        edits.push({
            kind: ObjectKind.Pool,
            name: `pool-${pool}`,
            value: { maxUnavailablePercent: 10, spare: pool === 0 },
        });
    }
    for (let team = 0; team < sizes.teams; team++) {
        const value = { share: 1 + team % 5, upperLimit: 200, isolatedService: IsolationPolicy.Refuse };
        edits.push({ kind: ObjectKind.Team, name: `team-${team}`, value });
        const route = { pool: `pool-${team % sizes.pools}`, team: `team-${team}`, access: RouteAccess.Keyed };
        edits.push({ kind: ObjectKind.Route, name: `route-${team}`, value: route });
    }
    for (let key = 0; key < sizes.keys; key++) {
        const value = { team: `team-${key % sizes.teams}`, salt: "0".repeat(32), digest: "0".repeat(64) };
        edits.push({ kind: ObjectKind.Key, name: `key-${key}`, value });
    }
    for (let vm = 0; vm < sizes.vms; vm++) {
        const zone = `zone-${vm % sizes.zones}`;
        const value = { pool: `pool-${vm % sizes.pools}`, zone, rack: `rack-${Math.floor(vm / 4)}` };
        edits.push({ kind: ObjectKind.Vm, name: `vm-${vm}`, value });
    }
    applyCommand(state, { kind: CommandKind.ChangeTables, changeId: "large-tables", edits });
    return state;
}
