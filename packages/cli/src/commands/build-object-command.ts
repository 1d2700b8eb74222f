import type { TableEdit } from "@daisylock/core/tables/table-edit.js";
import type { ArgumentsCamelCase, Argv, CommandModule } from "yargs";

import { sendEdits } from "../api/send-edits.js";
import { CommandContext } from "../command-context.js";
import { printResult } from "../output/print-result.js";
import type { ObjectCommandDefinition } from "./object-command-definition.js";

const changeOptions = {
    ifRevision: { type: "number", describe: "Revision that the object must have; 0 if it must not exist" },
    changeId: { type: "string", describe: "Idempotency id of the change, for safe retries" },
} as const;

/**
 * Builds the commands list, set and remove for one kind of object.
 * @param definition - the kind of object
 * @returns the command
 */
export function buildObjectCommand(definition: ObjectCommandDefinition): CommandModule {
    return {
        command: definition.kind,
        describe: definition.describe,
        builder: (yargs: Argv) =>
            yargs
                .command("list", `List every ${definition.kind}`, {}, options => runList(definition, options))
                .command(
                    "set <name>",
                    `Add or change a ${definition.kind}`,
                    argv =>
                        argv.positional("name", { type: "string" }).options({
                            ...definition.options,
                            ...changeOptions,
                        }),
                    options => runEdit(definition, options, definition.buildValue(options)),
                )
                .command(
                    "remove <name>",
                    `Remove a ${definition.kind}`,
                    argv => argv.positional("name", { type: "string" }).options(changeOptions),
                    options => runEdit(definition, options, undefined),
                )
                .example(`$0 ${definition.example}`, "")
                .demandCommand(1),
        handler: () => undefined,
    };
}

async function runList(definition: ObjectCommandDefinition, options: ArgumentsCamelCase): Promise<void> {
    const context = new CommandContext(options);
    const tables = await context.client.sendChecked("GET", "/v1/tables");
    const rows = tables[definition.kind] as Record<string, unknown>[];
    printResult(context.output, { revision: tables["revision"], [definition.kind]: rows }, rows);
}

async function runEdit(
    definition: ObjectCommandDefinition,
    options: ArgumentsCamelCase,
    value: unknown,
): Promise<void> {
    const context = new CommandContext(options);
    const edit = { kind: definition.kind, name: String(options["name"]), value, ifRevision: options["ifRevision"] };
    const changeId = options["changeId"] as string | undefined;
    printResult(context.output, await sendEdits(context.client, [edit as TableEdit], { changeId }));
}
