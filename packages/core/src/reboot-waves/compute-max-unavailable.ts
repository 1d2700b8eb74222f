/**
 * Computes how many VMs of a pool may be unavailable at once. A budget above nothing allows at least one in a pool of two
 * or more, since otherwise nothing could ever be maintained.
 * @param vms - VMs of the pool
 * @param maxUnavailablePercent - the pool's setting, percent
 * @returns number of VMs
 */
export function computeMaxUnavailable(vms: number, maxUnavailablePercent: number): number {
    if (maxUnavailablePercent <= 0 || vms < 2) {
        return 0;
    }
    return Math.max(1, Math.floor(vms * maxUnavailablePercent / 100));
}
