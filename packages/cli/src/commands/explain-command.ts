import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import type { CommandModule } from "yargs";

import { CommandFailure } from "../command-failure.js";
import { ExitCode } from "../exit-code.js";
import { collectJobHistory } from "../explain/collect-job-history.js";
import { describeJobHistory } from "../explain/describe-job-history.js";
import type { LogLine } from "../explain/log-line.js";
import { parseLogLine } from "../explain/parse-log-line.js";
import { OutputFormat } from "../output/output-format.js";

/** Shows the history of one job or request from log files. */
export const explainCommand: CommandModule = {
    command: "explain <id> <files..>",
    describe: "Show the history of one job or request from log files, in order of time",
    builder: yargs =>
        yargs
            .positional("id", { type: "string", demandOption: true, describe: "Id of the job" })
            .positional("files", { type: "string", array: true, demandOption: true, describe: "Logs of all processes" })
            .example("$0 explain 5c0e7a21d94b36f8 *.log", "trace one job through all processes"),
    handler: async options => {
        const lines: LogLine[] = [];
        for (const file of options["files"] as string[]) {
            await readLines(file, lines);
        }
        const id = String(options["id"]);
        const history = collectJobHistory(lines, id);
        if (history.length === 0) {
            throw new CommandFailure(ExitCode.Refused, `${id} not found in ${lines.length} log lines`);
        }
        const described = options["output"] === OutputFormat.Json
            ? history.map(line => JSON.stringify(line))
            : describeJobHistory(history);
        process.stdout.write(`${described.join("\n")}\n`);
    },
};

async function readLines(file: string, lines: LogLine[]): Promise<void> {
    try {
        for await (const text of createInterface({ input: createReadStream(file), crlfDelay: Infinity })) {
            const line = parseLogLine(text);
            if (line !== undefined) {
                lines.push(line);
            }
        }
    }
    catch (error) {
        throw new CommandFailure(ExitCode.Usage, `${file}: cannot read log file: ${(error as Error).message}`);
    }
}
