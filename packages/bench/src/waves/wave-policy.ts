/** How VMs to drain for maintenance are picked. */
export enum WavePolicy {
    /** The wave planner of the product. */
    Planned = "planned",
    /** One VM of the fleet at a time. */
    OneAtATime = "one at a time",
    /** One rack at a time. As many VMs as one rack has are held in reserve for the whole wave. */
    RackAtATime = "rack at a time",
    /** As many VMs as the disruption budgets allow, in fleet order, without a reserve. */
    Greedy = "greedy",
}
