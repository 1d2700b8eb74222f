import type { ResourceGrants } from "./resource-grants.js";

/**
 * Returns the grants of a resource. Creates them with capacity 0 on first use.
 * @param resources - resources by name
 * @param name - name of the resource
 * @returns the grants of the resource
 */
export function findOrCreateResource(resources: Map<string, ResourceGrants>, name: string): ResourceGrants {
    let resource = resources.get(name);
    if (resource === undefined) {
        resource = { capacity: 0, grants: new Map() };
        resources.set(name, resource);
    }
    return resource;
}
