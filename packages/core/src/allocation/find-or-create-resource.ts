import type { ResourceGrants } from "./resource-grants.js";

/**
 * Returns the grants of a resource, made on first use.
 * @param resources - resources by name
 * @param name - name of the resource
 * @returns its grants
 */
export function findOrCreateResource(resources: Map<string, ResourceGrants>, name: string): ResourceGrants {
    let resource = resources.get(name);
    if (resource === undefined) {
        resource = { capacity: 0, grants: new Map() };
        resources.set(name, resource);
    }
    return resource;
}
