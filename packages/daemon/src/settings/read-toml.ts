import { readFileSync } from "node:fs";
import { parse, TomlError } from "smol-toml";

import { SettingsFailure } from "./settings-failure.js";

/**
 * Reads and parses a TOML file.
 * @param file - path of the file
 * @returns the parsed content, or a `SettingsFailure` if the file cannot be read or parsed
 */
export function readToml(file: string): unknown {
    try {
        return parse(readFileSync(file, "utf8"));
    }
    catch (error) {
        if (error instanceof TomlError) {
            const summary = error.message.split("\n")[0] ?? "";
            return new SettingsFailure(file, [`line ${error.line}: expected TOML: ${summary}`]);
        }
        return new SettingsFailure(file, [`expected a readable file: ${(error as Error).message}`]);
    }
}
