/** Who may send requests on a route. */
export enum RouteAccess {
    /** Anyone; the requests count towards the team of the route. */
    Open = "open",
    /** Only clients that present a key of the route's team. */
    Keyed = "keyed",
}
