/** The current state of a VM, as far as maintenance needs it. */
export interface MaintenanceVm {
    readonly vm: string;
    readonly pool: string;
    readonly zone: string;
    readonly rack: string;
    /** Whether its target accepts requests. */
    readonly isReady: boolean;
    /** Whether the VM is cordoned, runs no requests and no entry may send requests to it. */
    readonly isDrained: boolean;
    /** Incarnation of its target; 0 when none has announced itself. */
    readonly incarnation: number;
}
