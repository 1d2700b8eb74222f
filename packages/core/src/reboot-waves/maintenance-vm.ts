/** A VM as maintenance sees it now. */
export interface MaintenanceVm {
    readonly vm: string;
    readonly pool: string;
    readonly zone: string;
    readonly rack: string;
    /** Whether its target takes work. */
    readonly isReady: boolean;
    /** Whether nothing is in flight to it and nobody may send it anything. */
    readonly isDrained: boolean;
    /** Incarnation of its target; 0 when none has announced itself. */
    readonly incarnation: number;
}
