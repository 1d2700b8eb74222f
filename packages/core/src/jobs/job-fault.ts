/** Why a job can't be accepted, whatever the load. */
export enum JobFault {
    SpecTooLong = "spec-too-long",
    NoSteps = "no-steps",
    TooManyTasks = "too-many-tasks",
    InvalidStepOrder = "step-after-a-later-step",
    NumberOutOfRange = "number-out-of-range",
}
