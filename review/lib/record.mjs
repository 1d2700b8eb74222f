import { appendFileSync, writeFileSync } from "node:fs";

/** Writes what a script sent, saw and ran to a file, one line each, with the time since the start of the script. */
export class Record {
    constructor(file) {
        this.file = file;
        this.startedAt = Date.now();
        writeFileSync(file, "");
    }

    note(event, fields = {}, atMs = Date.now()) {
        const seconds = ((atMs - this.startedAt) / 1_000).toFixed(3);
        appendFileSync(this.file, `${seconds.padStart(8)} ${event} ${JSON.stringify(fields)}\n`);
    }
}
