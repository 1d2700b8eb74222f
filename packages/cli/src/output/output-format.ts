/** Output format of results. */
export enum OutputFormat {
    Table = "table",
    Json = "json",
}
