import { OutputFormat } from "./output/output-format.js";

/** Options that every command takes. */
export const globalOptions = {
    server: {
        type: "string",
        describe: "Operators' listener of any process (DAISYLOCK_SERVER)",
        default: process.env["DAISYLOCK_SERVER"] ?? "127.0.0.1:7003",
    },
    token: {
        type: "string",
        describe: "Operators' token (DAISYLOCK_TOKEN)",
        default: process.env["DAISYLOCK_TOKEN"] ?? "",
        defaultDescription: "from the environment",
    },
    output: {
        choices: Object.values(OutputFormat),
        describe: "How results are printed",
        default: OutputFormat.Table,
    },
} as const;
