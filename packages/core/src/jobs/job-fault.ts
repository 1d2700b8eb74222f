/** Why a job can't be accepted, whatever the load. */
export enum JobFault {
    SpecTooLong = "spec-too-long",
    NoSteps = "no-steps",
    TooManyTasks = "too-many-tasks",
    BadOrder = "step-after-a-later-step",
    BadNumber = "number-out-of-range",
}
