import type { AdviceResponse } from "./advice-response.js";

/** The service that knows on which targets a queue's steps may run. */
export abstract class AdviceService {
    /**
     * Asks which targets may run a step.
     * @param step - name of the step
     * @param targets - ids of the targets
     * @param timeoutMs - longest wait for the answer
     * @returns the answer, or `undefined` when none came
     */
    abstract sendRequest(
        step: string,
        targets: readonly string[],
        timeoutMs: number,
    ): Promise<AdviceResponse | undefined>;
}
