import type { TargetRecord } from "../targets/target-record.js";

/** Index of the recorded targets by VM, built once for each use, so that look-ups need no search over all targets. */
export class VmCapacityIndex {
    /** Millicores of the first target on each VM. */
    private readonly cpuByVm = new Map<string, number>();
    private readonly poolsByVm = new Map<string, Set<string>>();
    /** Millicores; infinite without targets. */
    private smallestCpu = Number.POSITIVE_INFINITY;

    /**
     * @param targets - the recorded targets
     */
    constructor(targets: Iterable<TargetRecord>) {
        for (const { vm, pool, capacity } of targets) {
            const pools = this.poolsByVm.get(vm);
            if (pools === undefined) {
                this.cpuByVm.set(vm, capacity.cpu);
                this.poolsByVm.set(vm, new Set([pool]));
            }
            else {
                pools.add(pool);
            }
            this.smallestCpu = Math.min(this.smallestCpu, capacity.cpu);
        }
    }

    /**
     * Tells whether a target is recorded on a VM.
     * @param vm - the VM
     * @returns false for a VM that is powered off or moving
     */
    isRecorded(vm: string): boolean {
        return this.cpuByVm.has(vm);
    }

    /**
     * Tells whether a target of a pool is recorded on a VM.
     * @param vm - the VM
     * @param pool - name of the pool
     * @returns false when the VM has no target or one of another pool
     */
    isInPool(vm: string, pool: string): boolean {
        return this.poolsByVm.get(vm)?.has(pool) === true;
    }

    /**
     * Reads the CPU capacity of a VM. One that is powered off reports none and counts like the smallest.
     * @param vm - the VM
     * @returns millicores; infinite when no target is recorded at all
     */
    readCpu(vm: string): number {
        return this.cpuByVm.get(vm) ?? this.smallestCpu;
    }
}
