import csp, { type Channel } from "js-csp";

/**
 * Starts a goroutine and reports how it ended. The goroutine yields the channels from which it takes a message.
 *
 * A goroutine of js-csp itself goes on two turns of the event loop after a message was put: the dispatcher takes one, the
 * goroutine another. In a process whose turns are long, these are most of the time of a commit. Here a waiting goroutine
 * goes on when the dispatcher hands it the message; one whose message is there already still lets others run first.
 * @param body - the goroutine
 * @param handleEnd - called once when the goroutine ends, with its error or `undefined`
 */
export function runGoroutine(
    body: () => Generator<unknown, void, unknown>,
    handleEnd: (error: unknown) => void,
): void {
    const goroutine = body();
    const resume = (message: unknown): void => {
        let step: IteratorResult<unknown, void>;
        try {
            step = goroutine.next(message);
        }
        catch (error) {
            handleEnd(error ?? new TypeError("thrown value is empty"));
            return;
        }
        if (step.done === true) {
            handleEnd(undefined);
            return;
        }
        takeMessage(step.value as Channel<unknown>, resume);
    };
    resume(undefined);
}

/** Calls back with the next message of a channel, never before this function has returned. */
function takeMessage(channel: Channel<unknown>, handleMessage: (message: unknown) => void): void {
    let hasReturned = false;
    csp.takeAsync(channel, message => {
        if (hasReturned) {
            handleMessage(message);
        }
        else {
            setImmediate(() => handleMessage(message));
        }
    });
    hasReturned = true;
}
