import type { CommandModule } from "yargs";

import { CommandContext } from "../command-context.js";
import { OutputFormat } from "../output/output-format.js";
import { printResult } from "../output/print-result.js";

const sections = ["entries", "pools", "teams"] as const;

/** Shows the leader's view of the whole system. */
export const statusCommand: CommandModule = {
    command: "status",
    describe: "Show keepers, entries, pools and teams, and how many entries have applied the tables",
    handler: async options => {
        const context = new CommandContext(options);
        const status = await context.client.sendChecked("GET", "/v1/status");
        if (context.output === OutputFormat.Json) {
            printResult(context.output, status);
            return;
        }
        const { entries, pools, teams, ...summary } = status;
        printResult(context.output, summary);
        for (const section of sections) {
            process.stdout.write(`\n${section}\n`);
            printResult(context.output, status, status[section] as Record<string, unknown>[]);
        }
    },
};
