import { describeIssues } from "@daisylock/protocol/operator/describe-issues.js";
import Result from "true-myth/result";
import * as v from "valibot";

import { readToml } from "./read-toml.js";
import { Role } from "./role.js";
import { SettingsFailure } from "./settings-failure.js";
import { settingsSchema } from "./settings-schema.js";
import type { Settings } from "./settings.js";

/**
 * Loads and validates a settings file.
 * @param file - path of the file
 * @returns the settings, or a failure with every validation error found
 */
export function loadSettings(file: string): Result<Settings, SettingsFailure> {
    const content = readToml(file);
    if (content instanceof SettingsFailure) {
        return Result.err(content);
    }
    const checked = v.safeParse(settingsSchema, content);
    if (!checked.success) {
        return Result.err(new SettingsFailure(file, describeIssues(checked.issues)));
    }
    const errors = checkRoles(checked.output);
    return errors.length > 0 ? Result.err(new SettingsFailure(file, errors)) : Result.ok(checked.output);
}

function checkRoles(settings: Settings): string[] {
    const { node, listen } = settings;
    const errors: string[] = [];
    if (node.roles.includes(Role.Keeper) && node.data === undefined) {
        errors.push("node.data: expected a folder, which the role keeper needs");
    }
    if (node.roles.includes(Role.Entry) && listen.callers === undefined) {
        errors.push("listen.callers: expected an address, which the role entry needs");
    }
    if (node.roles.includes(Role.Entry) && listen.targets === undefined) {
        errors.push("listen.targets: expected an address, which the role entry needs");
    }
    return errors;
}
