import type { AdviceResponse } from "./advice-response.js";

/** Client of the placement adviser, the external service that decides on which targets the steps of a queue may run. */
export abstract class AdviceService {
    /**
     * Asks which targets may run a step.
     * @param step - encoded step key
     * @param targets - ids of the targets
     * @param timeoutMs - longest wait for the response, milliseconds
     * @returns the response, or `undefined` when none came
     */
    abstract sendRequest(
        step: string,
        targets: readonly string[],
        timeoutMs: number,
    ): Promise<AdviceResponse | undefined>;
}
