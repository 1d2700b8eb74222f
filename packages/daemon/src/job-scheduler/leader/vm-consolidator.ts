import type { FleetState } from "@daisylock/core/fleet/fleet-state.js";
import { buildRoomTaker } from "@daisylock/core/pools/build-room-taker.js";
import type { BusyVm } from "@daisylock/core/pools/busy-vm.js";
import { collectBusyVms } from "@daisylock/core/pools/collect-busy-vms.js";
import type { PoolForecast } from "@daisylock/core/pools/pool-forecast.js";
import { VmConsolidation } from "@daisylock/core/pools/vm-consolidation.js";
import type { VmMove } from "@daisylock/core/pools/vm-move.js";
import type { TargetRecord } from "@daisylock/core/targets/target-record.js";

import type { Clock } from "../../clock/clock.js";
import { DecisionKind } from "../logging/decision-kind.js";
import type { DecisionLog } from "../logging/decision-log.js";
import type { TargetSession } from "./target-session.js";
import type { TaskDurationEstimator } from "./task-duration-estimator.js";

/** Dependencies of the consolidator. */
interface ConsolidatorDependencies {
    readonly sessions: {
        readonly find: (
            target: string,
        ) => Pick<TargetSession, "isStopping" | "readRunTimes" | "stopTask"> | undefined;
    };
    /** Whether the VM of a target may leave its pool once it is idle. */
    readonly mayLeave: (target: TargetRecord) => boolean;
    /** Counts how many more tasks may be started on a target now. */
    readonly countStartsLeft: (fleet: FleetState, target: string) => number;
    readonly estimator: Pick<TaskDurationEstimator, "computeStepMs">;
    readonly log: Pick<DecisionLog, "record">;
    readonly clock: Clock;
}

/** Frees VMs of calm pools for pools that are short: closes them to starts, and moves tasks off them where that is cheaper. */
export class VmConsolidator {
    private readonly consolidation = new VmConsolidation();

    /**
     * @param dependencies - sessions, estimates, log and clock
     */
    constructor(private readonly dependencies: ConsolidatorDependencies) {}

    /**
     * Tells whether a VM takes no start, as another pool needs it.
     * @param vm - the VM
     * @returns true while it is closed
     */
    isClosed(vm: string): boolean {
        return this.consolidation.isClosed(vm);
    }

    /** Opens all VMs. */
    openVms(): void {
        this.writeOpenedLines(this.consolidation.openAll());
    }

    /**
     * Closes and opens VMs, and stops the runs that are to run elsewhere.
     * @param fleet - the fleet state
     * @param pools - the forecasts of the round
     * @param moves - the moves of the round
     */
    closeVms(fleet: FleetState, pools: readonly PoolForecast[], moves: readonly VmMove[]): void {
        const { sessions, mayLeave, countStartsLeft, estimator, log, clock } = this.dependencies;
        const view = {
            mayLeave,
            isStopping: (target: string, task: string, run: number) =>
                sessions.find(target)?.isStopping(task, run) === true,
            readTimes: (target: string, task: string, run: number) => sessions.find(target)?.readRunTimes(task, run),
            estimate: estimator.computeStepMs,
            now: clock.readWall(),
        };
        const { closed, opened, stops } = this.consolidation.planRound(
            pools,
            moves,
            names => collectBusyVms(fleet, names, view),
            buildRoomTaker(fleet, target => countStartsLeft(fleet, target)),
            clock.readMonotonic(),
        );
        for (const { vm, pool, runs } of closed) {
            const emptyInMs = Math.round(Math.max(...runs.map(({ remainingMs }) => remainingMs)));
            log.record(DecisionKind.VmClosed, { vm, pool, runs: runs.length, emptyInMs });
        }
        this.writeOpenedLines(opened);
        for (const { task, run, target, remainingMs, lostMs } of stops) {
            log.record(DecisionKind.TaskMoved, {
                task,
                run,
                target,
                remainingMs: Math.round(remainingMs),
                lostMs: Math.round(lostMs),
            });
            sessions.find(target)?.stopTask(task, run);
        }
    }
    private writeOpenedLines(opened: readonly BusyVm[]): void {
        for (const { vm, pool } of opened) {
            this.dependencies.log.record(DecisionKind.VmOpened, { vm, pool });
        }
    }
}
