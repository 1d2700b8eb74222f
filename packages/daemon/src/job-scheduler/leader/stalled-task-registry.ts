/** Remembers on which targets tasks have stalled, which tells a task that stalls wherever it runs from a bad target. */
export class StalledTaskRegistry {
    /** First target on which a task has stalled, by encoded task key. */
    private readonly firstTargets = new Map<string, string>();

    /**
     * Records that a task has stalled.
     * @param task - encoded task key
     * @param target - id of the target
     * @returns whether the target may be the cause, as the task has not stalled on another one before
     */
    noteStall(task: string, target: string): boolean {
        const first = this.firstTargets.get(task);
        if (first === undefined) {
            this.firstTargets.set(task, target);
        }
        return first === undefined || first === target;
    }

    /**
     * Forgets tasks that have ended.
     * @param isActive - whether a task may still run
     */
    dropEnded(isActive: (task: string) => boolean): void {
        for (const task of this.firstTargets.keys()) {
            if (!isActive(task)) {
                this.firstTargets.delete(task);
            }
        }
    }
}
