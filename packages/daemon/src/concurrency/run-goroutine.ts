import csp from "js-csp";

/**
 * Runs a goroutine and reports how it ended. js-csp itself would pass an error to the process.
 * @param body - the goroutine
 * @param handleEnd - called once, with the error if it threw
 */
export function runGoroutine(
    body: () => Generator<unknown, void, unknown>,
    handleEnd: (error: unknown) => void,
): void {
    csp.go(function*() {
        try {
            yield* body();
        }
        catch (error) {
            handleEnd(error ?? new TypeError("thrown value is empty"));
            return;
        }
        handleEnd(undefined);
    });
}
