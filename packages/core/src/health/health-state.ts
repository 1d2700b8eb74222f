/** Circuit-breaker state of a target, derived from the results of its requests. */
export enum HealthState {
    Healthy = "healthy",
    /** Receives no requests until the ejection ends (circuit open). */
    Ejected = "ejected",
    /** Receives a limited number of requests to test whether it has recovered (circuit half-open). */
    Probing = "probing",
}
