/** How VMs are taken out for maintenance. */
export enum WavePolicy {
    /** The product's planner. */
    Planned = "planned",
    OneAtATime = "one at a time",
    /** One rack after the other, with as many VMs as a rack has set aside all the time. */
    RackAtATime = "rack at a time",
    /** As many as the budget allows, in any order, without a reserve. */
    Greedy = "greedy",
}
