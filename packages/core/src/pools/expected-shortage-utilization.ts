/** Utilization by forecast demand above which a pool is short of VMs. */
export const expectedShortageUtilization = 0.9;
