import { closeSync, constants, fstatSync, openSync, writeSync } from "node:fs";
import { Socket } from "node:net";

/** Longest wait for a reader that takes nothing, milliseconds. */
const maxWaitMs = 250;
const pollMs = 5;
/** Bytes that a pipe takes whole or not at all (PIPE_BUF on Linux). */
const maxWriteBytes = 4_096;

/**
 * Writes lines synchronously, for a process that is about to end. A reader that takes nothing delays the end by a bounded
 * time, and then loses the lines.
 * @param fd - file descriptor of the log
 * @param lines - lines without their ends
 * @returns whether all lines were written
 */
export function writeBeforeExit(fd: number, lines: readonly string[]): boolean {
    const output = openWithoutBlocking(fd);
    try {
        return writeLines(output, lines);
    }
    finally {
        if (output !== fd) {
            closeSync(output);
        }
    }
}

/** Returns a descriptor of the same file whose writes do not wait for a reader. */
function openWithoutBlocking(fd: number): number {
    const status = fstatSync(fd);
    if (status.isFIFO()) {
        try {
            // The mode of the shared descriptor stays as it is for the other processes that have it.
            return openSync(`/proc/self/fd/${fd}`, constants.O_WRONLY | constants.O_NONBLOCK);
        }
        catch {
            // A pipe without a reader, or of another user, can't be opened again.
        }
    }
    if (status.isFIFO() || status.isSocket()) {
        // Node makes the descriptors of its sockets and pipes non-blocking.
        new Socket({ fd, readable: false, writable: true }).on("error", () => undefined);
    }
    return fd;
}

function writeLines(fd: number, lines: readonly string[]): boolean {
    const until = Date.now() + maxWaitMs;
    return lines.every(line => writeBytes(fd, Buffer.from(`${line}\n`), until));
}

function writeBytes(fd: number, bytes: Buffer, until: number): boolean {
    for (let written = 0; written < bytes.length;) {
        try {
            written += writeSync(fd, bytes, written, Math.min(maxWriteBytes, bytes.length - written));
        }
        catch (error) {
            if ((error as NodeJS.ErrnoException).code !== "EAGAIN" || Date.now() >= until) {
                return false;
            }
            Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, pollMs);
        }
    }
    return true;
}
