/** How a time line is printed. */
export enum TimelineFormat {
    Text = "text",
    JsonLines = "jsonl",
    /** For the trace viewers of browsers. */
    Chrome = "chrome",
}
