import { computeKeyDigest } from "@daisylock/core/keys/compute-key-digest.js";
import { ObjectKind } from "@daisylock/core/tables/object-kind.js";
import { randomBytes } from "node:crypto";
import type { ArgumentsCamelCase, Argv, CommandModule } from "yargs";

import { sendEdits } from "../api/send-edits.js";
import { CommandContext } from "../command-context.js";
import { printResult } from "../output/print-result.js";

const secretBytes = 24;
const saltBytes = 16;

/**
 * Lists, grants and revokes keys. The secret is generated here and only its salted digest is sent, so that neither the
 * replicated log nor the tables contain it.
 */
export const keyCommand: CommandModule = {
    command: "key",
    describe: "Manage keys, with which callers use the keyed routes of a team",
    builder: (yargs: Argv) =>
        yargs
            .command("list", "List the granted keys", {}, runList)
            .command(
                "grant <name>",
                "Grant a key and print it; it cannot be shown again",
                argv =>
                    argv.positional("name", { type: "string" }).option("team", { type: "string", demandOption: true }),
                runGrant,
            )
            .command(
                "revoke <name>",
                "Revoke a key",
                argv => argv.positional("name", { type: "string" }),
                runRevoke,
            )
            .example("$0 key grant front-desk --team spas", "")
            .demandCommand(1),
    handler: () => undefined,
};

async function runList(options: ArgumentsCamelCase): Promise<void> {
    const context = new CommandContext(options);
    const tables = await context.client.sendChecked("GET", "/v1/tables");
    const rows = tables[ObjectKind.Key] as Record<string, unknown>[];
    printResult(context.output, { key: rows }, rows);
}

async function runGrant(options: ArgumentsCamelCase): Promise<void> {
    const context = new CommandContext(options);
    const name = String(options["name"]);
    const secret = randomBytes(secretBytes).toString("hex");
    const salt = randomBytes(saltBytes).toString("hex");
    const value = { team: String(options["team"]), salt, digest: computeKeyDigest(salt, secret) };
    const result = await sendEdits(context.client, [{ kind: ObjectKind.Key, name, value, ifRevision: 0 }]);
    printResult(context.output, { ...result, key: `dlk_${name}_${secret}` });
}

async function runRevoke(options: ArgumentsCamelCase): Promise<void> {
    const context = new CommandContext(options);
    const edit = { kind: ObjectKind.Key, name: String(options["name"]) } as const;
    printResult(context.output, await sendEdits(context.client, [edit]));
}
