import { closeSync, constants, openSync, writeSync } from "node:fs";

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
    let output: number;
    try {
        // A descriptor of its own does not block, whatever the mode of the shared one.
        output = openSync(`/proc/self/fd/${fd}`, constants.O_WRONLY | constants.O_NONBLOCK | constants.O_APPEND);
    }
    catch {
        // Sockets and descriptors of another user cannot be opened again.
        return writeLines(fd, lines);
    }
    try {
        return writeLines(output, lines);
    }
    finally {
        closeSync(output);
    }
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
