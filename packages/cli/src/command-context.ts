import type { ArgumentsCamelCase } from "yargs";

import { OperatorClient } from "./api/operator-client.js";
import type { OutputFormat } from "./output/output-format.js";

/** API client and output format, built from the global options. */
export class CommandContext {
    readonly client: OperatorClient;
    readonly output: OutputFormat;

    /**
     * @param options - parsed options of the command line
     */
    constructor(options: ArgumentsCamelCase) {
        this.client = new OperatorClient(String(options["server"]), String(options["token"]));
        this.output = options["output"] as OutputFormat;
    }
}
