import type { TableEdit } from "@daisylock/core/tables/table-edit.js";
import { readFileSync } from "node:fs";
import { parse } from "smol-toml";
import type { CommandModule } from "yargs";

import { sendEdits } from "../api/send-edits.js";
import { CommandContext } from "../command-context.js";
import { CommandFailure } from "../command-failure.js";
import { ExitCode } from "../exit-code.js";
import { printResult } from "../output/print-result.js";
import { planEdits } from "./plan-edits.js";

/** Compares the tables with a file and applies the differences. */
export const applyCommand: CommandModule = {
    command: "apply",
    describe: "Show how the tables differ from a file, then apply the differences as one change",
    builder: yargs =>
        yargs
            .option("file", { alias: "f", type: "string", demandOption: true, describe: "File with the tables (TOML)" })
            .option("prune", {
                type: "boolean",
                default: false,
                describe: "Also remove objects that are not in the file",
            })
            .option("dry-run", { type: "boolean", default: false, describe: "Only show the differences" })
            .example("$0 apply -f examples/tables.toml --dry-run", ""),
    handler: async options => {
        const context = new CommandContext(options);
        const desired = readTables(String(options["file"]));
        const tables = await context.client.sendChecked("GET", "/v1/tables");
        const edits = planEdits(tables, desired, options["prune"] === true);
        for (const edit of edits) {
            process.stderr.write(`${edit.value === undefined ? "remove" : "set"} ${edit.kind} ${edit.name}\n`);
        }
        if (edits.length === 0 || options["dryRun"] === true) {
            printResult(context.output, { edits: edits.length, applied: false });
            return;
        }
        const baseRevision = tables["revision"] as number;
        printResult(context.output, await sendEdits(context.client, edits as TableEdit[], { baseRevision }));
    },
};

function readTables(file: string): Record<string, unknown> {
    try {
        return parse(readFileSync(file, "utf8"));
    }
    catch (error) {
        throw new CommandFailure(ExitCode.Usage, `${file}: ${(error as Error).message}`);
    }
}
