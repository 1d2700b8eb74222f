import { applyCommand } from "@daisylock/core/control/apply-command.js";
import { CommandKind } from "@daisylock/core/control/command-kind.js";
import type { ControlCommand } from "@daisylock/core/control/control-command.js";
import { createControlState } from "@daisylock/core/control/create-control-state.js";
import { encodeControlState } from "@daisylock/core/control/encode-control-state.js";
import { encodeTables } from "@daisylock/core/tables/encode-tables.js";
import { IsolationPolicy } from "@daisylock/core/tables/isolation-policy.js";
import { ObjectKind } from "@daisylock/core/tables/object-kind.js";

import { buildLargeTables } from "./build-large-tables.js";
import { computeLinearFit } from "./compute-linear-fit.js";
import type { LinearFit } from "./linear-fit.js";
import { measureHeap } from "./measure-heap.js";
import { measureMedian } from "./measure-median.js";

const baseSizes = { vms: 100, pools: 30, teams: 20, keys: 20, zones: 7 };

/**
 * Measures memory and encoded size of the replicated state, and the time to encode a snapshot and to replay the log.
 * @returns a linear fit for each cost
 */
export function measureState(): LinearFit[] {
    return [
        measureFit(
            "table memory",
            "bytes",
            "VM",
            [1_000, 2_500, 5_100],
            vms => measureHeap(() => buildLargeTables({ ...baseSizes, vms })),
        ),
        measureFit(
            "table memory",
            "bytes",
            "key",
            [500, 1_000, 2_000],
            keys => measureHeap(() => buildLargeTables({ ...baseSizes, keys })),
        ),
        measureFit(
            "table memory",
            "bytes",
            "team and route",
            [50, 100, 170],
            teams => measureHeap(() => buildLargeTables({ ...baseSizes, teams })),
        ),
        measureFit(
            "whole copy of the tables",
            "bytes",
            "VM",
            [1_000, 2_500, 5_100],
            vms => encodeTables(buildLargeTables({ ...baseSizes, vms }).tables).length,
        ),
        measureFit("snapshot to write", "ms", "VM", [1_000, 2_500, 5_100], vms => {
            const state = buildLargeTables({ ...baseSizes, vms });
            return measureMedian(9, () => encodeControlState(state));
        }),
        measureFit("replay of the log", "ms", "change", [500, 1_000, 2_000], changes => {
            const commands = Array.from({ length: changes }, (_unused, number) => JSON.stringify(buildChange(number)));
            return measureMedian(5, () => {
                const state = createControlState();
                commands.forEach(command => applyCommand(state, JSON.parse(command) as ControlCommand));
            });
        }),
    ];
}

function measureFit(
    name: string,
    costUnit: string,
    sizeUnit: string,
    sizes: readonly number[],
    measure: (size: number) => number,
): LinearFit {
    return computeLinearFit(name, costUnit, sizeUnit, sizes, sizes.map(measure));
}

function buildChange(number: number): ControlCommand {
    const value = { share: 1, upperLimit: number, isolatedService: IsolationPolicy.Refuse };
    const edits = [{ kind: ObjectKind.Team as const, name: `team-${number % 170}`, value }];
    return { kind: CommandKind.ChangeTables, changeId: `change-${number}`, edits };
}
