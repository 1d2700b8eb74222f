/** How far a wave of maintenance is. */
export interface MaintenanceWaveProgress {
    readonly isKnown: boolean;
    readonly isCompleted: boolean;
}
