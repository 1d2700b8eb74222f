import csp from "js-csp";

/**
 * Starts a goroutine and reports how it ended. Without this, js-csp rethrows an error as an uncaught exception of the
 * process.
 * @param body - the goroutine
 * @param handleEnd - called once when the goroutine ends, with its error or `undefined`
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
