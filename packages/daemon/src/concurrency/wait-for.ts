import csp from "js-csp";

/**
 * Waits for a promise in a goroutine. Call it with `yield*`.
 * @param promise - the promise
 * @returns the value that the promise resolves to
 * @throws the rejection reason of the promise
 */
export function* waitFor<Value>(promise: Promise<Value>): Generator<unknown, Value, unknown> {
    const channel = csp.chan<{ value: Value } | { error: unknown }>(csp.buffers.fixed(1));
    promise.then(
        value => csp.offer(channel, { value }),
        (error: unknown) => csp.offer(channel, { error }),
    );
    const settled = (yield channel) as { value: Value } | { error: Error };
    if ("error" in settled) {
        throw settled.error;
    }
    return settled.value;
}
