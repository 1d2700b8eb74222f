import { applyCommand } from "@daisylock/core/control/apply-command.js";
import { CommandKind } from "@daisylock/core/control/command-kind.js";
import type { ControlCommand } from "@daisylock/core/control/control-command.js";
import { createControlState } from "@daisylock/core/control/create-control-state.js";
import { encodeControlState } from "@daisylock/core/control/encode-control-state.js";
import { encodeTables } from "@daisylock/core/tables/encode-tables.js";
import { IsolationPolicy } from "@daisylock/core/tables/isolation-policy.js";
import { ObjectKind } from "@daisylock/core/tables/object-kind.js";

import { buildLargeControlState } from "./build-large-control-state.js";
import { computeLinearFit } from "./compute-linear-fit.js";
import type { LinearFit } from "./linear-fit.js";
import { measureHeap } from "./measure-heap.js";
import { measureMedianMs } from "./measure-median-ms.js";

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
            vms => measureHeap(() => buildLargeControlState({ ...baseSizes, vms })),
        ),
        measureFit(
            "table memory",
            "bytes",
            "key",
            [500, 1_000, 2_000],
            keys => measureHeap(() => buildLargeControlState({ ...baseSizes, keys })),
        ),
        measureFit(
            "table memory",
            "bytes",
            "team and route",
            [50, 100, 170],
            teams => measureHeap(() => buildLargeControlState({ ...baseSizes, teams })),
        ),
        measureFit(
            "whole copy of the tables",
            "bytes",
            "VM",
            [1_000, 2_500, 5_100],
            vms => encodeTables(buildLargeControlState({ ...baseSizes, vms }).tables).length,
        ),
        measureFit("snapshot to write", "ms", "VM", [1_000, 2_500, 5_100], vms => {
            const state = buildLargeControlState({ ...baseSizes, vms });
            return measureMedianMs(9, () => encodeControlState(state));
        }),
        measureFit("replay of the log", "ms", "change", [500, 1_000, 2_000], changes => {
            const commands = Array.from({ length: changes }, (_unused, number) => JSON.stringify(buildChange(number)));
            return measureMedianMs(5, () => {
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
