/** Status of a maintenance wave. */
export interface MaintenanceWaveProgress {
    readonly isKnown: boolean;
    readonly isCompleted: boolean;
}
