/** How far a wave of maintenance is. */
export interface UpkeepView {
    readonly isKnown: boolean;
    readonly isCompleted: boolean;
}
