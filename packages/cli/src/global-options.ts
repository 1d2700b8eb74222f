import { OutputFormat } from "./output/output-format.js";

/** Options of every command. */
export const globalOptions = {
    server: {
        type: "string",
        describe: "Address of any process's operator listener (DAISYLOCK_SERVER)",
        default: process.env["DAISYLOCK_SERVER"] ?? "127.0.0.1:7003",
    },
    token: {
        type: "string",
        describe: "Operator token (DAISYLOCK_TOKEN)",
        default: process.env["DAISYLOCK_TOKEN"] ?? "",
        defaultDescription: "from the environment",
    },
    output: {
        choices: Object.values(OutputFormat),
        describe: "Output format of results",
        default: OutputFormat.Table,
    },
} as const;
