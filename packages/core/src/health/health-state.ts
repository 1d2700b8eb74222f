/** Whether a target may receive work, as far as its conduct tells. */
export enum HealthState {
    Healthy = "healthy",
    /** Left out until a point in time. */
    Ejected = "ejected",
    /** Receives a little work to see whether it has recovered. */
    Probing = "probing",
}
