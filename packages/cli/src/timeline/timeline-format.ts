/** Output format of the timeline. */
export enum TimelineFormat {
    Text = "text",
    JsonLines = "jsonl",
    /** Chrome trace event format, for trace viewers in browsers. */
    Chrome = "chrome",
}
