import { describeIssues } from "@daisylock/protocol/operator/describe-issues.js";
import Result from "true-myth/result";
import * as v from "valibot";

import { readToml } from "../../settings/read-toml.js";
import { Role } from "../../settings/role.js";
import { SettingsFailure } from "../../settings/settings-failure.js";
import { fleetSettingsSchema } from "./fleet-settings-schema.js";
import type { FleetSettings } from "./fleet-settings.js";

/**
 * Loads and checks the settings file of a process that serves jobs.
 * @param file - path of the file
 * @returns the settings, or every fault found
 */
export function loadFleetSettings(file: string): Result<FleetSettings, SettingsFailure> {
    const content = readToml(file);
    if (content instanceof SettingsFailure) {
        return Result.err(content);
    }
    const checked = v.safeParse(fleetSettingsSchema, content);
    if (!checked.success) {
        return Result.err(new SettingsFailure(file, describeIssues(checked.issues)));
    }
    const faults = checkRoles(checked.output);
    return faults.length > 0 ? Result.err(new SettingsFailure(file, faults)) : Result.ok(checked.output);
}

function checkRoles({ node, listen }: FleetSettings): string[] {
    const needs: [Role, string, string][] = [
        [Role.Keeper, "node.data", node.data],
        [Role.Keeper, "listen.control", listen.control],
        [Role.Keeper, "listen.peers", listen.peers],
        [Role.Entry, "listen.callers", listen.callers],
        [Role.Entry, "listen.ready", listen.ready],
    ];
    return needs
        .filter(([role, , value]) => node.roles.includes(role) && value === "")
        .map(([role, key]) => `${key}: expected a value, which the role ${role} needs`);
}
