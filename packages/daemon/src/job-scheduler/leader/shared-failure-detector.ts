import type { TargetRecord } from "@daisylock/core/targets/target-record.js";

/** Number of targets of a rack or zone that have to end together; fewer may have crashed by chance. */
const minTargetCount = 3;

type Location = Pick<TargetRecord, "id" | "rack" | "zone">;

/** Tells targets that ended because their rack or availability zone failed from targets that crashed by themselves. */
export class SharedFailureDetector {
    /** Ids of the targets that ended together with others. */
    private readonly targets = new Set<string>();

    /**
     * Tells whether a target has ended with its rack or zone. The others of that rack or zone are remembered, as they are
     * removed one after the other.
     * @param target - the target that has ended
     * @param recorded - all recorded targets
     * @param hasEnded - whether a target has ended by the newest list of VMs
     * @returns true when all targets of its rack, or of its zone, have ended
     */
    isShared(target: Location, recorded: readonly Location[], hasEnded: (id: string) => boolean): boolean {
        if (this.targets.has(target.id)) {
            return true;
        }
        const inRack = recorded.filter(({ rack }) => rack !== "" && rack === target.rack);
        const inZone = recorded.filter(({ zone }) => zone === target.zone);
        const failed = [inRack, inZone].find(peers =>
            peers.length >= minTargetCount && peers.every(({ id }) => hasEnded(id))
        );
        failed?.forEach(({ id }) => this.targets.add(id));
        return failed !== undefined;
    }

    /**
     * Forgets targets that are no longer recorded.
     * @param isRecorded - whether a target is recorded
     */
    dropRemoved(isRecorded: (id: string) => boolean): void {
        for (const id of this.targets) {
            if (!isRecorded(id)) {
                this.targets.delete(id);
            }
        }
    }
}
