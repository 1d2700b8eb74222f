/** Validation errors of a job request. */
export enum JobFault {
    SpecTooLong = "spec-too-long",
    NoSteps = "no-steps",
    TooManyTasks = "too-many-tasks",
    InvalidStepOrder = "step-after-a-later-step",
    NumberOutOfRange = "number-out-of-range",
}
