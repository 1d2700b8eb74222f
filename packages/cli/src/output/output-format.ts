/** How results are printed. */
export enum OutputFormat {
    Table = "table",
    Json = "json",
}
