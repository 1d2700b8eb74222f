/** Who may send requests on a route. */
export enum RouteAccess {
    /** Anyone; the work is accounted to the team of the route. */
    Open = "open",
    /** Only callers that present a key of the route's team. */
    Keyed = "keyed",
}
