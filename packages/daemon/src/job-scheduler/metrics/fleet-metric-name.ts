/** Names of the metrics that a daemon of the job scheduler serves. */
export enum FleetMetricName {
    Decisions = "daisylock_decisions_total",
    DroppedLines = "daisylock_log_lines_dropped_total",
    LogSync = "daisylock_log_sync_seconds",
    StartWait = "daisylock_start_wait_seconds",
    StartOrder = "daisylock_start_order_seconds",
    RunTime = "daisylock_run_seconds",
    JobTime = "daisylock_job_seconds",
    PoolCapacity = "daisylock_pool_capacity_cores",
    PoolUsed = "daisylock_pool_used_cores",
    PoolWaiting = "daisylock_pool_waiting_tasks",
    PoolLate = "daisylock_pool_late_tasks",
    Leading = "daisylock_leading",
    Term = "daisylock_log_term",
}
