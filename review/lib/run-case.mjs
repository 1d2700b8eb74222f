import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

import { Record } from "./record.mjs";

/** Longest run of a script, milliseconds. */
const maxRunMs = 115_000;

/**
 * Runs a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 * @param url - address of the script's module
 * @param run - runs the case; resolves to the breaks of the rule that were seen
 * @param stop - ends all processes that the case has started
 */
export async function runCase(url, run, stop) {
    const record = new Record(join(dirname(fileURLToPath(url)), "record.txt"));
    const hasTrouble = process.env.TROUBLE !== "0";
    record.note("case started", { trouble: hasTrouble });
    let code = 2;
    const timer = setTimeout(() => {
        record.note("case did not end in time");
        void stop().finally(() => process.exit(2));
    }, maxRunMs);
    try {
        const breaks = await run(record, hasTrouble);
        breaks.forEach(fields => record.note("RULE BROKEN", fields));
        code = breaks.length > 0 ? 1 : 0;
    }
    catch (error) {
        record.note("case could not run", { error: String(error?.stack ?? error) });
    }
    clearTimeout(timer);
    await stop();
    record.note("case ended", { code });
    process.stdout.write(`${code === 1 ? "rule broken" : code === 0 ? "rule held" : "could not run"}\n`);
    process.exit(code);
}
