import { WaveAction } from "@daisylock/protocol/operator/wave-action.js";
import { writeFileSync } from "node:fs";
import type { ArgumentsCamelCase, Argv, CommandModule } from "yargs";

import { CommandContext } from "../command-context.js";
import { printResult } from "../output/print-result.js";
import { buildWavePage } from "./build-wave-page.js";
import type { WaveRow } from "./wave-row.js";

const scopeOptions = {
    pool: { type: "array", string: true, describe: "Only VMs of these pools" },
    vm: { type: "array", string: true, describe: "Only these VMs" },
} as const;

/** Starts and controls waves of VM reboots. */
export const waveCommand: CommandModule = {
    command: "wave",
    describe: "Manage waves, which reboot many VMs within the disruption budget of each pool",
    builder: (yargs: Argv) =>
        yargs
            .command(
                "plan <id>",
                "Estimate a wave without starting it",
                scopeOptions,
                options => runStart(options, true),
            )
            .command("start <id>", "Start a wave", scopeOptions, options => runStart(options, false))
            .command(
                "status [id]",
                "Show waves, or one wave's VMs",
                { page: { type: "string", describe: "File for a page of the wave (HTML)" } },
                runStatus,
            )
            .command(
                "pause <id>",
                "Stop taking further VMs out of service",
                {},
                options => runAction(options, WaveAction.Pause),
            )
            .command("resume <id>", "Continue a paused wave", {}, options => runAction(options, WaveAction.Resume))
            .command(
                "abort <id>",
                "End the wave after the VMs that are in progress",
                {},
                options => runAction(options, WaveAction.Abort),
            )
            .command(
                "give-up <id> <vm>",
                "Mark a VM as not coming back in this wave",
                {},
                options => runAction(options, WaveAction.GiveUp),
            )
            .example("$0 wave start december --pool front-desk", "")
            .demandCommand(1),
    handler: () => undefined,
};

async function runStart(options: ArgumentsCamelCase, isPlanOnly: boolean): Promise<void> {
    const context = new CommandContext(options);
    const body = { waveId: options["id"], pools: options["pool"], vms: options["vm"], isPlanOnly };
    printResult(context.output, await context.client.sendChecked("POST", "/v1/waves", body));
}

async function runStatus(options: ArgumentsCamelCase): Promise<void> {
    const context = new CommandContext(options);
    const result = await context.client.sendChecked("GET", "/v1/waves");
    const waves = result["waves"] as WaveRow[];
    const wave = waves.find(({ id }) => id === options["id"]);
    if (typeof options["page"] === "string" && wave !== undefined) {
        const tables = await context.client.sendChecked("GET", "/v1/tables");
        writeFileSync(options["page"], buildWavePage(wave, tables["vm"] as { name: string; rack: string }[]));
    }
    if (wave === undefined) {
        const rows = waves.map(({ id, status, pauseReason, counts }) => ({ id, status, pauseReason, ...counts }));
        printResult(context.output, result, rows);
        return;
    }
    printResult(context.output, { ...wave }, wave.vms.map(row => ({ ...row })));
}

async function runAction(options: ArgumentsCamelCase, action: WaveAction): Promise<void> {
    const context = new CommandContext(options);
    const path = `/v1/waves/${String(options["id"])}`;
    printResult(context.output, await context.client.sendChecked("POST", path, { action, vm: options["vm"] }));
}
