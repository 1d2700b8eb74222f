import type { EventRecord } from "@daisylock/core/events/event-record.js";
import type { ArgumentsCamelCase, CommandModule } from "yargs";

import { CommandContext } from "../command-context.js";
import { describeEvent } from "../timeline/describe-event.js";
import { encodeChromeTrace } from "../timeline/encode-chrome-trace.js";
import { TimelineFormat } from "../timeline/timeline-format.js";

const filters = ["request", "vm", "team", "pool", "change", "process", "kind"] as const;

/** Prints the events of all processes in causal order. */
export const timelineCommand: CommandModule = {
    command: "timeline",
    describe: "Print the events of all processes in causal order",
    builder: yargs =>
        yargs
            .options(Object.fromEntries(
                filters.map(filter => [filter, { type: "string", describe: `Only events of this ${filter}` } as const]),
            ))
            .option("last", { type: "number", default: 600, describe: "Length of the time range before now, seconds" })
            .option("format", { choices: Object.values(TimelineFormat), default: TimelineFormat.Text })
            .example("$0 timeline --request 4711", "trace one request through all processes"),
    handler: async options => {
        const context = new CommandContext(options);
        const since = Date.now() - Number(options["last"]) * 1_000;
        const response = await context.client.sendChecked("GET", `/v1/events?since=${since}`);
        const events = (response["events"] as EventRecord[]).filter(event => isMatchingFilters(event, options));
        printEvents(events, options["format"] as TimelineFormat);
        for (const address of response["silent"] as string[]) {
            process.stderr.write(`no response from ${address}: its events are missing\n`);
        }
    },
};

function isMatchingFilters(event: EventRecord, options: ArgumentsCamelCase): boolean {
    return filters.every(filter => options[filter] === undefined || event[filter] === options[filter]);
}

function printEvents(events: readonly EventRecord[], format: TimelineFormat): void {
    if (format === TimelineFormat.Chrome) {
        process.stdout.write(`${encodeChromeTrace(events)}\n`);
        return;
    }
    const formatLine = format === TimelineFormat.Text ? describeEvent : JSON.stringify;
    for (const event of events) {
        process.stdout.write(`${formatLine(event)}\n`);
    }
}
