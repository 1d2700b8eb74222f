/** Why a process ends by itself. */
export enum ProcessFailureReason {
    UncaughtError = "uncaught-error",
    UnhandledRejection = "unhandled-rejection",
    /** A component of the supervisor tree failed more often than its restart policy allows. */
    ComponentFailed = "component-failed",
    InvariantBroken = "invariant-broken",
    SettingsUnusable = "settings-unusable",
}
