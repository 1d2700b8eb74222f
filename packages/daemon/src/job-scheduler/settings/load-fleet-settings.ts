import { describeIssues } from "@daisylock/protocol/operator/describe-issues.js";
import Result from "true-myth/result";
import * as v from "valibot";

import { readToml } from "../../settings/read-toml.js";
import { Role } from "../../settings/role.js";
import { SettingsFailure } from "../../settings/settings-failure.js";
import { fleetSettingsSchema } from "./fleet-settings-schema.js";
import type { FleetSettings } from "./fleet-settings.js";

/**
 * Loads and validates the settings file of a job-scheduler process.
 * @param file - path of the file
 * @returns the settings, or a failure that lists all validation errors
 */
export function loadFleetSettings(file: string): Result<FleetSettings, SettingsFailure> {
    const content = readToml(file);
    if (content instanceof SettingsFailure) {
        return Result.err(content);
    }
    const parsed = v.safeParse(fleetSettingsSchema, content);
    if (!parsed.success) {
        return Result.err(new SettingsFailure(file, describeIssues(parsed.issues)));
    }
    const errors = checkRoles(parsed.output);
    return errors.length > 0 ? Result.err(new SettingsFailure(file, errors)) : Result.ok(parsed.output);
}

function checkRoles({ node, listen }: FleetSettings): string[] {
    const requirements: [Role, string, string][] = [
        [Role.Keeper, "node.data", node.data],
        [Role.Keeper, "listen.control", listen.control],
        [Role.Keeper, "listen.peers", listen.peers],
        [Role.Entry, "listen.callers", listen.callers],
        [Role.Entry, "listen.ready", listen.ready],
    ];
    return requirements
        .filter(([role, , value]) => node.roles.includes(role) && value === "")
        .map(([role, key]) => `${key}: expected a value, as the role ${role} requires it`);
}
