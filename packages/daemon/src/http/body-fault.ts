/** Why the body of a request could not be read. */
export enum BodyFault {
    TooLarge = "too-large",
    NotJson = "not-json",
    Incomplete = "incomplete",
}
