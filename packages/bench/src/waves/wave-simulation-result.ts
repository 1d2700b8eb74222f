import type { WavePolicy } from "./wave-policy.js";

/** How a wave went. */
export interface WaveSimulationResult {
    readonly fleet: string;
    readonly policy: WavePolicy;
    readonly hours: number;
    /** Whether the wave was done within the time of the experiment. */
    readonly isDone: boolean;
    /** Hours that the wave takes at least with these budgets and mean times. */
    readonly boundHours: number;
    /** VM-hours out of service or set aside, for 1,000 VM-hours of the fleet. */
    readonly bufferPerThousand: number;
    /** Minutes in which some pool had more out than its budget, whatever the cause. */
    readonly overBudgetMinutes: number;
    /** Decisions that took out more than the budget allowed at that moment. */
    readonly breaches: number;
    /** Longest time of one plan, milliseconds. */
    readonly planMs: number;
}
