import type { WavePolicy } from "./wave-policy.js";

/** Result of one simulated wave. */
export interface WaveSimulationResult {
    readonly fleet: string;
    readonly policy: WavePolicy;
    /** Virtual time from the start of the wave to the end of the simulation. */
    readonly hours: number;
    /** Whether the wave was done before the time limit of the simulation. */
    readonly isDone: boolean;
    /** Lower bound on the hours of the wave, from the disruption budgets and the mean drain and reboot times. */
    readonly boundHours: number;
    /** VM-hours unavailable or held in reserve, per 1,000 VM-hours of the fleet. */
    readonly bufferPerThousand: number;
    /** Minutes in which some pool had more VMs unavailable than its disruption budget allows, whatever the cause. */
    readonly overBudgetMinutes: number;
    /** Number of drains started that exceeded the pool's disruption budget at that moment. */
    readonly breaches: number;
    /** Longest run time of the planner for one step, milliseconds. */
    readonly planMs: number;
}
