/** What is wrong with a JSON body. */
export enum BodyFault {
    TooLarge = "too-large",
    NotJson = "not-json",
    Incomplete = "incomplete",
}
