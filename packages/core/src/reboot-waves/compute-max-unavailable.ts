/**
 * Computes how many VMs of a pool may be unavailable at once. A percentage above 0 allows at least one VM in a pool of
 * two or more, since otherwise no VM of a small pool could be maintained.
 * @param vms - number of VMs in the pool
 * @param maxUnavailablePercent - maximum unavailable VMs as set for the pool, percent
 * @returns the number of VMs
 */
export function computeMaxUnavailable(vms: number, maxUnavailablePercent: number): number {
    if (maxUnavailablePercent <= 0 || vms < 2) {
        return 0;
    }
    return Math.max(1, Math.floor(vms * maxUnavailablePercent / 100));
}
