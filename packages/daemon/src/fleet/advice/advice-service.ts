import type { AdviceAnswer } from "./advice-answer.js";

/** The service that knows on which targets a queue's steps may run. */
export abstract class AdviceService {
    /**
     * Asks which targets may run a step.
     * @param step - name of the step
     * @param targets - ids of the targets
     * @param timeoutMs - longest wait for the answer
     * @returns the answer, or `undefined` when none came
     */
    abstract sendQuestion(
        step: string,
        targets: readonly string[],
        timeoutMs: number,
    ): Promise<AdviceAnswer | undefined>;
}
